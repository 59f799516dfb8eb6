package main

import (
	"context"
	"syscall"
	"time"
)

// catchUp is the time after which a machine that is back counts as whole (catch_up_s).
const catchUp = 4 * time.Second

// settle is the time that a deployment gets after its start, and after a replacement.
const settle = 6 * time.Second

// freeze is how long a machine stands still.
const freeze = 5 * time.Second

// freezeBeside stops the process of a machine for a while, in which another machine is
// replaced. Without trouble only the replacement happens.
func freezeBeside(ctx context.Context, d *deployment, frozen, replaced *machine, trouble bool) error {
	until := time.Now().Add(freeze)
	if trouble {
		if err := d.signal(frozen, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	const between = 600 * time.Millisecond
	if err := sleep(ctx, between); err != nil {
		return err
	}
	if err := d.replace(ctx, replaced); err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(until)); err != nil {
		return err
	}
	if trouble {
		return d.signal(frozen, syscall.SIGCONT)
	}
	return nil
}

// playRemoved freezes one machine while another is replaced. Once all machines have been
// back for catchUp, two of the others lose their disks right after a change.
func playRemoved(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	if err := d.startAll(ctx); err != nil {
		return false, err
	}
	if err := sleep(ctx, settle); err != nil {
		return false, err
	}
	if err := freezeBeside(ctx, d, d.machines[4], d.machines[3], trouble); err != nil {
		return false, err
	}
	back := time.Now()
	const early = 100 * time.Millisecond
	if err := sleep(ctx, time.Until(back.Add(catchUp-early))); err != nil {
		return false, err
	}
	if err := d.change(ctx); err != nil {
		return false, err
	}
	if err := sleep(ctx, time.Until(back.Add(catchUp))); err != nil {
		return false, err
	}
	if err := d.loseDisks(ctx, d.machines[0], d.machines[1]); err != nil {
		return false, err
	}
	return d.checkReadBack(ctx), nil
}

// playForgotten replaces the three machines that the settings files of the first start
// list, one after the other, restarts another one, then freezes the last one while that
// one is replaced. Long after that, two machines lose their disks right after a change.
func playForgotten(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	if err := d.startAll(ctx); err != nil {
		return false, err
	}
	for _, m := range d.machines[:listed] {
		if err := sleep(ctx, settle); err != nil {
			return false, err
		}
		if err := d.replace(ctx, m); err != nil {
			return false, err
		}
	}
	// An instance that was restarted does not lead.
	if err := sleep(ctx, settle); err != nil {
		return false, err
	}
	if err := d.restart(ctx, d.machines[3]); err != nil {
		return false, err
	}
	if err := sleep(ctx, settle); err != nil {
		return false, err
	}
	if err := freezeBeside(ctx, d, d.machines[4], d.machines[3], trouble); err != nil {
		return false, err
	}
	const long = 20 * time.Second
	if err := sleep(ctx, long); err != nil {
		return false, err
	}
	if err := d.change(ctx); err != nil {
		return false, err
	}
	if err := d.loseDisks(ctx, d.machines[controls], d.machines[controls+1]); err != nil {
		return false, err
	}
	return d.checkReadBack(ctx), nil
}
