package message

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/quota"
)

// askOfEarlierVersions is quota.Ask as gateways and controllers of earlier versions have it.
type askOfEarlierVersions struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Subject  string
	Want     uint32
	Used     uint32
	Returned uint32
	Rate     float64
	Urgency  uint8
}

type reportOfEarlierVersions struct {
	Quotas    []askOfEarlierVersions `msgpack:"q,omitempty"`
	Instances []askOfEarlierVersions `msgpack:"i,omitempty"`
}

// TestReportsOfTwoVersionsAreRead guards against gateways and controllers that reject each other's
// reports while they are upgraded one after the other: asks with an additional field could not be
// decoded.
func TestReportsOfTwoVersionsAreRead(t *testing.T) {
	ask := quota.Ask{Subject: "view-1", Want: 3, Used: 2, Rate: 5.2, Urgency: 9, UsedAgoMs: 700}
	report := DemandReport{Quotas: []quota.Ask{{Subject: "tenant-1", Want: 5}}}
	report.AskForInstances([]quota.Ask{{Subject: "view-0", Want: 1}, ask})
	encoded, err := codec.Marshal(&report)
	if err != nil {
		t.Fatal(err)
	}
	var same DemandReport
	if err := codec.Unmarshal(encoded, &same); err != nil {
		t.Fatal(err)
	}
	if asks := same.InstanceAsks(); len(asks) != 2 || asks[1] != ask || asks[0].UsedAgoMs != 0 {
		t.Errorf("the same version decodes %+v", asks)
	}
	report.Quarantine = &quarantine.Report{Number: 4, Crashes: []quarantine.Crash{{Fingerprint: 5, Instance: "view-1"}}}
	if encoded, err = codec.Marshal(&report); err != nil {
		t.Fatal(err)
	}
	var earlier reportOfEarlierVersions
	if err := codec.Unmarshal(encoded, &earlier); err != nil || len(earlier.Instances) != 2 || earlier.Instances[1].Used != 2 || earlier.Quotas[0].Want != 5 {
		t.Errorf("an earlier version decodes %+v: %v", earlier, err)
	}
	encoded, err = codec.Marshal(&reportOfEarlierVersions{Instances: []askOfEarlierVersions{{Subject: "view-1", Used: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	var later DemandReport
	if err := codec.Unmarshal(encoded, &later); err != nil || len(later.InstanceAsks()) != 1 || later.InstanceAsks()[0].Used != 2 {
		t.Errorf("a report of an earlier version is decoded as %+v: %v", later, err)
	}
}
