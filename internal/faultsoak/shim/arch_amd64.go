package shim

import "golang.org/x/sys/unix"

// auditArch is this architecture in struct seccomp_data.
const auditArch = unix.AUDIT_ARCH_X86_64
