package wasabiprocess

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// Daemon is a service that Run starts and stops.
type Daemon interface {
	// Start returns once the daemon is ready to serve.
	Start(ctx context.Context) error
	// Shutdown stops gracefully until ctx ends.
	Shutdown(ctx context.Context) error
	// Close stops immediately and waits until everything has stopped.
	Close() error
	String() string
}

// Run starts a daemon and serves until SIGTERM, SIGINT or the end of ctx. The
// first signal shuts it down gracefully; a second one stops it at once.
func Run(ctx context.Context, log zerolog.Logger, d Daemon) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return run(ctx, log, d, signals)
}

func run(ctx context.Context, log zerolog.Logger, d Daemon, signals <-chan os.Signal) error {
	if err := d.Start(ctx); err != nil {
		_ = d.Close()
		return err
	}
	log.Info().Str("Daemon", d.String()).Msg("started")
	select {
	case s := <-signals:
		log.Info().Str("Signal", s.String()).Msg("stopping gracefully")
	case <-ctx.Done():
		log.Info().Msg("stopping gracefully")
	}
	stop, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		select {
		case s := <-signals:
			log.Warn().Str("Signal", s.String()).Msg("stopping at once")
			cancel()
		case <-stop.Done():
		}
	}()
	err := d.Shutdown(stop)
	if closing := d.Close(); err == nil {
		err = closing
	}
	log.Info().AnErr("Error", err).Msg("stopped")
	return err
}
