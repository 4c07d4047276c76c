package mesh

import (
	"reflect"
	"strings"
	"testing"
)

// TestFieldsOfDatagramsHaveKeysOfTheirOwn guards against two fields with one key, of which the codec sends neither.
func TestFieldsOfDatagramsHaveKeysOfTheirOwn(t *testing.T) {
	for _, message := range []any{Heartbeat{}, Snapshot{}} {
		fields := map[string]string{}
		for field := range reflect.TypeOf(message).Fields() {
			key, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
			if key == "" || key == "-" {
				continue
			}
			if other := fields[key]; other != "" {
				t.Errorf("%T: %s and %s have key %s", message, other, field.Name, key)
			}
			fields[key] = field.Name
		}
	}
}
