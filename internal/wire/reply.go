package wire

import (
	"encoding/binary"
	"io"
	"math"

	"milldeck/balance"
)

// Action codes.
const (
	actionSend                 = 1000
	actionReject               = 1010
	actionFail                 = 1020
	actionCancel               = 1030
	actionSetTimer             = 1040
	actionHealthCheck          = 1050
	actionCloseIdleConnections = 1060
	actionSendGossip           = 1070
	actionLog                  = 1080
	actionFault                = 1090
	actionWatchEndpoints       = 1100
	actionFetchEndpoints       = 1110
	allPeers                   = 0xffffffff
	maxText                    = 0xffff
	replyHeaderSize            = 4
)

// Reply gathers the actions that answer one frame.
type Reply struct{ buffer []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.buffer = append(r.buffer[:0], 0, 0, 0, 0) }

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

// Fault reports that an instance's decision code broke.
func (r *Reply) Fault(instance uint16, text string) {
	r.appendHeader(actionFault, instance)
	r.appendText([]byte(text))
}

func (r *Reply) addAction(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		r.appendHeader(actionSend, instance)
		r.appendUint64(uint64(a.Request))
		r.appendFloat64(a.At)
		r.appendServerID(a.Server)
	case balance.Reject:
		r.appendHeader(actionReject, instance)
		r.appendUint64(uint64(a.Request))
		r.appendFloat64(a.At)
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
		r.appendFloat64(a.At)
	case balance.HealthCheck:
		r.appendHeader(actionHealthCheck, instance)
		r.appendServerID(a.Server)
	case balance.CloseIdleConnections:
		r.appendHeader(actionCloseIdleConnections, instance)
		r.appendServerID(a.Server)
	case balance.SendGossip:
		r.appendHeader(actionSendGossip, instance)
		peer := uint32(allPeers)
		if a.Peer >= 0 {
			peer = uint32(a.Peer)
		}
		r.buffer = binary.BigEndian.AppendUint32(r.buffer, peer)
		r.appendText(a.Data)
	case balance.Log:
		r.appendHeader(actionLog, instance)
		r.appendText([]byte(a.Text))
	case balance.WatchEndpoints:
		r.appendHeader(actionWatchEndpoints, instance)
		r.buffer = append(r.buffer, 1)
	case balance.FetchEndpoints:
		r.appendHeader(actionFetchEndpoints, instance)
	}
}

func (r *Reply) appendHeader(code, instance uint16) {
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, code)
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, instance)
}

func (r *Reply) appendUint64(v uint64)   { r.buffer = binary.BigEndian.AppendUint64(r.buffer, v) }
func (r *Reply) appendFloat64(v float64) { r.appendUint64(math.Float64bits(v)) }

func (r *Reply) appendServerID(id balance.ServerID) {
	r.buffer = binary.BigEndian.AppendUint32(r.buffer, uint32(id>>16))
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, uint16(id))
}

func (r *Reply) appendText(b []byte) {
	if len(b) > maxText {
		b = b[:maxText]
	}
	r.buffer = binary.BigEndian.AppendUint16(r.buffer, uint16(len(b)))
	r.buffer = append(r.buffer, b...)
}
