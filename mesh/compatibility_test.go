package mesh

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// TestHeartbeatsOfEarlierBuildsAreRead guards against changes that old and new builds side by side do not understand.
// The files hold heartbeats as the builds of these commits encode them.
func TestHeartbeatsOfEarlierBuildsAreRead(t *testing.T) {
	for commit, versions := range map[string]bool{"a004cd5": false, "425680c": true} {
		text, err := os.ReadFile("testdata/heartbeat-" + commit + ".hex")
		if err != nil {
			t.Fatal(err)
		}
		data, err := hex.DecodeString(strings.TrimSpace(string(text)))
		if err != nil {
			t.Fatal(err)
		}
		hb, err := decode(data)
		if err != nil {
			t.Fatalf("%s: %v", commit, err)
		}
		if hb.From != "r1" || hb.Domain != "d1" || hb.Incarnation != 7 || !hb.Watching || hb.ConfigRevision != 41 || hb.TargetsDigest != 99 || hb.TargetsRevision != 55 || hb.FleetSize != 9 {
			t.Errorf("%s: got %+v", commit, hb)
		}
		if len(hb.Loads) != 1 || len(hb.Peers) != 1 || len(hb.Changes) != 1 || len(hb.Limits) != 1 || hb.Evidence == nil || len(hb.Evidence.Attempts) != 1 || len(hb.Evidence.Verdicts) != 1 {
			t.Errorf("%s: got lists %+v", commit, hb)
		}
		if (len(hb.Splits) == 1 && len(hb.Brittle) == 1 && len(hb.Paths) == 1) != versions || len(hb.Streams) != 0 {
			t.Errorf("%s: got splits %v, brittle %v, paths %v, streams %v", commit, hb.Splits, hb.Brittle, hb.Paths, hb.Streams)
		}
	}
}
