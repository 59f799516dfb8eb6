//go:build deps

// Package deps keeps the module file stable while parts are added.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/rs/zerolog"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/net/http2/h2c"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/assert/cmp"
)
