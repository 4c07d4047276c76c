package standin

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

const maxVMLists = 1_000

// vmList is a version of the VM list with the time at which it was set.
type vmList struct {
	at  time.Time
	vms []objectapi.VM
}

// SetVMs replaces the VM list. It becomes visible to readers after
// Faults.VMLagMS; the first list is visible at once.
func (o *Objects) SetVMs(vms []objectapi.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.vmLists = append(o.vmLists, vmList{at: time.Now(), vms: append([]objectapi.VM(nil), vms...)})
	if len(o.vmLists) > maxVMLists {
		o.vmLists = o.vmLists[1:]
	}
}

// VMs implements objectapi.VMLister.
func (o *Objects) VMs(ctx context.Context) ([]objectapi.VM, error) {
	if err := o.admit(ctx, VerbVMs); err != nil {
		return nil, err
	}
	vms := o.visibleVMs(time.Now())
	return vms, o.applyAnswerFaults(ctx, VerbVMs)
}

func (o *Objects) visibleVMs(now time.Time) []objectapi.VM {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.vmLists) == 0 {
		return nil
	}
	lag := time.Duration(o.faults.VMLagMS) * time.Millisecond
	visible := o.vmLists[0]
	for _, list := range o.vmLists[1:] {
		if now.Sub(list.at) < lag {
			break
		}
		visible = list
	}
	return append([]objectapi.VM(nil), visible.vms...)
}
