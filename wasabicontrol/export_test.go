package wasabicontrol

import "github.com/wasabistand/wasabistand/wasabilink"

// Transport is the transport of a group, for tests.
type Transport struct{ *transport }

// NewTransport returns the transport of a group "root" in the cluster "test".
func NewTransport(p *wasabilink.Pool) Transport {
	return Transport{newTransport("test", RootGroup, p, new(sentBytes))}
}

// Close closes the transport and waits for its senders.
func (t Transport) Close() { t.close() }
