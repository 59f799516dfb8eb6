package wasabidemo

import (
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiload"
	"github.com/wasabistand/wasabistand/wasabilocal"
	"github.com/wasabistand/wasabistand/wasabiupstream"
)

// DeepService is the service at the end of the chain.
const DeepService = "juice-tally"

// BookingService is the service whose calls must not run twice.
const BookingService = "slot-keeper"

// responseBytes is the length of the filler in all responses. Clients check that
// it is complete.
const responseBytes = 256

// Chain returns the call graph of Granaatpers, scaled down: 6 workers for each
// of 4 services in 3 regions with 2 failure domains each. Slots and connections
// are a fifth and service times a multiple of the real ones, so that the deep
// service handles 450 calls per second and the whole run needs only a small part
// of a machine.
func Chain() wasabilocal.Topology {
	downstream := func(service, path string) []wasabiupstream.DownstreamCall {
		return []wasabiupstream.DownstreamCall{{Service: service, Method: "GET", Path: path}}
	}
	return wasabilocal.Topology{
		Regions:          []string{"flanders", "wallonia", "brussels"},
		DomainsPerRegion: 2,
		WorkersPerDomain: 1,
		Services: []wasabilocal.Service{
			{Name: "rota-board", Slots: 18, Connections: 126, ServiceTime: 2 * time.Millisecond, ResponseBytes: responseBytes, Downstream: downstream("slot-keeper", "/slots/7")},
			{Name: "slot-keeper", Slots: 18, Connections: 126, ServiceTime: 3 * time.Millisecond, ResponseBytes: responseBytes, Downstream: downstream("batch-ledger", "/batches/7")},
			{Name: "batch-ledger", Slots: 18, Connections: 126, ServiceTime: 3 * time.Millisecond, ResponseBytes: responseBytes, Downstream: downstream("juice-tally", "/tally/7")},
			{Name: "juice-tally", Slots: 3, Connections: 36, ServiceTime: 40 * time.Millisecond, ResponseBytes: responseBytes},
		},
		Latencies:     wasabilocal.DefaultLatencies(),
		Configuration: configuration,
		HopRetries:    3,
		HopTimeout:    250 * time.Millisecond,
		Detached:      true,
	}
}

// configuration declares the calls of the chain. Queues are short, because a call
// that is queued until its caller's deadline is wasted work.
const configuration = `
[Retry]
PerRequest = 3
SharePercent = 10
MinPerSecond = 10

[[Regions]]
A = "flanders"
B = "wallonia"
RoundTrip = "40ms"
BytesPerSecond = 250000000

[[Regions]]
A = "flanders"
B = "brussels"
RoundTrip = "40ms"
BytesPerSecond = 250000000

[[Regions]]
A = "wallonia"
B = "brussels"
RoundTrip = "40ms"
BytesPerSecond = 250000000

[[Callers]]
Name = "grower"
Patience = "2s"
Home = "flanders"

[[Services]]
Name = "rota-board"
QueueLimit = 72

[[Services.Calls]]
Name = "view"
Method = "GET"
Path = "/board/{rest...}"
Importance = "Low"
Idempotent = true

[[Services]]
Name = "slot-keeper"
QueueLimit = 72

[[Services.Calls]]
Name = "book"
Method = "POST"
Path = "/slots/{id}/booking"
Importance = "Critical"
Idempotent = false

[[Services.Calls]]
Name = "look"
Method = "GET"
Path = "/slots/{id}"
Importance = "Low"
Idempotent = true

[[Services]]
Name = "batch-ledger"
QueueLimit = 72

[[Services.Calls]]
Name = "sheet"
Method = "PUT"
Path = "/batches/{id}/sheet"
Importance = "High"
Idempotent = true

[[Services.Calls]]
Name = "read"
Method = "GET"
Path = "/batches/{id}"
Importance = "Normal"
Idempotent = true

[[Services]]
Name = "juice-tally"
QueueLimit = 12

[[Services.Calls]]
Name = "tally"
Method = "GET"
Path = "/tally/{id}"
Importance = "Low"
Idempotent = true
`

// Classes returns the request classes for a total rate in requests per second.
// Half of the requests are board views. Bookings are few enough that the deep
// service can serve all of them when it runs at a quarter of its capacity during
// the surge.
func Classes(total float64) []wasabiload.Class {
	return []wasabiload.Class{
		{Name: "view", Importance: wasabistand.Low, Service: "rota-board", Caller: "grower", Method: "GET", Path: "/board/week", Rate: 0.50 * total},
		{Name: "read", Importance: wasabistand.Normal, Service: "batch-ledger", Caller: "grower", Method: "GET", Path: "/batches/7", Rate: 0.25 * total},
		{Name: "sheet", Importance: wasabistand.High, Service: "batch-ledger", Caller: "grower", Method: "PUT", Path: "/batches/7/sheet", Rate: 0.13 * total},
		{Name: "book", Importance: wasabistand.Critical, Service: BookingService, Caller: "grower", Method: "POST", Path: "/slots/7/booking", Keyed: true, Rate: 0.12 * total},
	}
}

// AggressiveClient returns a client that abandons an attempt after 400 ms and
// retries three times, without the backoff that a response asks for.
func AggressiveClient(s *wasabilocal.System) *wasabiload.Client {
	return &wasabiload.Client{
		HTTP:           s.Client(),
		Entry:          s.Entry,
		Timeout:        1200 * time.Millisecond,
		AttemptTimeout: 400 * time.Millisecond,
		MaxRetries:     3,
		Backoff:        20 * time.Millisecond,
		ResponseBytes:  responseBytes,
	}
}
