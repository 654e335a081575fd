package main

import (
	"fmt"
	"time"
)

const (
	toldAfter    = 6 * time.Second       // a change counts as told at the latest
	socketsSlack = 50 * time.Millisecond // each time limit grows by this on sockets
	judgedFor    = 10 * time.Second
)

// judgeDrain judges the rule on drains for the requests of one sidecar.
func (r *run) judgeDrain(name string, withdrawn *server, application *clients, limit time.Time) error {
	before, late := len(withdrawn.attemptsFrom(name, time.Time{})), withdrawn.attemptsFrom(name, limit)
	r.printf("%s: %s got %d requests, %d of them after the limit at %.3f s", name, withdrawn.UID, before, len(late), r.at(limit))
	if r.trouble && before == len(late) {
		return fmt.Errorf("%s got nothing before the limit: the run shows nothing", withdrawn.UID)
	}
	if len(late) > 0 {
		r.printf("first: %s at %.3f s, last: %s at %.3f s", late[0].id, r.at(late[0].at), late[len(late)-1].id, r.at(late[len(late)-1].at))
		return errBroken
	}
	return application.mostlyServed()
}
