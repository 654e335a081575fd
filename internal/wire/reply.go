package wire

import (
	"encoding/binary"
	"io"
	"math"

	"milldeck/balance"
)

const (
	allPeers = 0xffffffff
	// watchSubscribe is the argument of actionWatchEndpoints that requests a subscription to the endpoint list.
	watchSubscribe = 1
	maxTextBytes   = 0xffff // longer texts are truncated
)

// Reply encodes the actions for one frame as a reply frame. Reset must be called before the first use.
type Reply struct{ buffer []byte }

// Reset removes all actions.
func (r *Reply) Reset() { r.buffer = append(r.buffer[:0], 0, 0, 0, 0) } // WriteTo sets the length

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.buffer, uint32(len(r.buffer)))
	n, err := w.Write(r.buffer)
	return int64(n), err
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint16, actions []balance.Action) {
	for i := range actions {
		r.addAction(instance, &actions[i])
	}
}

// Fault appends a report that an instance could not start, rejected an event or panicked.
func (r *Reply) Fault(instance uint16, text string) {
	r.appendHeader(actionFault, instance)
	r.appendText([]byte(text))
}

func (r *Reply) addAction(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		r.appendHeader(actionSend, instance)
		r.appendUint64(uint64(a.Request))
		r.appendFloat64(a.Deadline)
		r.appendServerID(a.Server)
	case balance.Reject:
		r.appendHeader(actionReject, instance)
		r.appendUint64(uint64(a.Request))
		r.appendFloat64(a.RetryAfter)
	case balance.Fail:
		r.appendHeader(actionFail, instance)
		r.appendUint64(uint64(a.Request))
	case balance.Cancel:
		r.appendHeader(actionCancel, instance)
		r.appendUint64(uint64(a.Request))
		r.buffer = append(r.buffer, uint8(a.Attempt))
	case balance.SetTimer:
		r.appendHeader(actionSetTimer, instance)
		r.appendUint64(a.Token)
		r.appendFloat64(a.Delay)
	case balance.HealthCheck:
		r.appendHeader(actionHealthCheck, instance)
		r.appendServerID(a.Server)
	case balance.CloseIdleConnections:
		r.appendHeader(actionCloseIdleConnections, instance)
		r.appendServerID(a.Server)
	case balance.SendGossip:
		r.appendHeader(actionSendGossip, instance)
		r.appendPeer(a.Peer)
		r.appendText(a.Data)
	case balance.Log:
		r.appendHeader(actionLog, instance)
		r.appendText([]byte(a.Text))
	case balance.WatchEndpoints:
		r.appendHeader(actionWatchEndpoints, instance)
		r.buffer = append(r.buffer, watchSubscribe)
	case balance.FetchEndpoints:
		r.appendHeader(actionFetchEndpoints, instance)
	}
}

func (r *Reply) appendHeader(code, instance uint16) {
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, code)
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, instance)
}

func (r *Reply) appendUint64(v uint64) { r.buffer = binary.BigEndian.AppendUint64(r.buffer, v) }

func (r *Reply) appendFloat64(v float64) { r.appendUint64(math.Float64bits(v)) }

func (r *Reply) appendServerID(id balance.ServerID) {
	r.buffer = binary.BigEndian.AppendUint32(r.buffer, uint32(id>>16))
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, uint16(id))
}

// appendPeer appends the index of a sidecar. A negative index stands for all peers.
func (r *Reply) appendPeer(peer int) {
	if peer < 0 {
		r.buffer = binary.BigEndian.AppendUint32(r.buffer, allPeers)
		return
	}
	r.buffer = binary.BigEndian.AppendUint32(r.buffer, uint32(peer))
}

func (r *Reply) appendText(text []byte) {
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes]
	}
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, uint16(len(text)))
	r.buffer = append(r.buffer, text...)
}
