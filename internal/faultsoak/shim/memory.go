package shim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Entries of the auxiliary vector; see getauxval(3).
const (
	auxNull        = 0
	auxIgnore      = 1
	auxSysinfoEHDR = 33 // the address of the vDSO
)

const (
	wordBytes       = 8
	maxStackWords   = 1 << 16 // arguments, environment and auxiliary vector
	startStackField = 28      // number of the field startstack of /proc/PID/stat, counted from 1
)

var errNoVDSO = errors.New("no vDSO entry found in the auxiliary vector")

// hideVDSO removes the vDSO from the auxiliary vector of a process that has not read the vector yet.
func hideVDSO(pid int) error {
	address, err := startOfStack(pid)
	if err != nil {
		return err
	}
	memory, err := os.OpenFile(fmt.Sprintf("/proc/%d/mem", pid), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer memory.Close()
	var word [wordBytes]byte
	next := func() (uint64, error) {
		_, err := memory.ReadAt(word[:], address)
		address += wordBytes
		return binary.NativeEndian.Uint64(word[:]), err
	}
	argc, err := next()
	if err != nil {
		return err
	}
	address += int64(argc+1) * wordBytes // the arguments and the null pointer after them
	for range maxStackWords {            // the environment
		pointer, err := next()
		if err != nil {
			return err
		}
		if pointer == 0 {
			break
		}
	}
	for range maxStackWords {
		kind, err := next()
		if err != nil {
			return err
		}
		switch kind {
		case auxNull:
			return errNoVDSO
		case auxSysinfoEHDR:
			binary.NativeEndian.PutUint64(word[:], auxIgnore)
			_, err := memory.WriteAt(word[:], address-wordBytes)
			return err
		}
		address += wordBytes // the value of the entry
	}
	return errNoVDSO
}

// startOfStack returns the address of the initial stack of a process.
func startOfStack(pid int) (int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	text := string(stat)
	// The second field is the name of the program in parentheses; the name may contain spaces and parentheses.
	_, afterName, found := strings.Cut(text[strings.LastIndex(text, ")"):], " ")
	fields := strings.Fields(afterName)
	const fieldsBefore = 3 // fields[0] is the third field of the file
	if !found || len(fields) <= startStackField-fieldsBefore {
		return 0, fmt.Errorf("/proc/%d/stat has no field startstack", pid)
	}
	return strconv.ParseInt(fields[startStackField-fieldsBefore], 10, 64)
}

// writeTimespec writes a time to the memory of a process.
func writeTimespec(pid int, address uintptr, value time.Time) error {
	timespec := unix.NsecToTimespec(value.UnixNano())
	size := int(unsafe.Sizeof(timespec))
	local := []unix.Iovec{{Base: (*byte)(unsafe.Pointer(&timespec)), Len: uint64(size)}}
	remote := []unix.RemoteIovec{{Base: address, Len: size}}
	_, err := unix.ProcessVMWritev(pid, local, remote, 0)
	return err
}
