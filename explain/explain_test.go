package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const routerA = `-9.2 edge-a {"level":"info","router":"a","event":3100,"name":"config-in-force","config":7,"revision":9,"time":"2026-03-07T23:02:37.100Z"}
{"level":"info","router":"a","event":3009,"name":"target-standing","target":"t9","before":"sound","after":"shunned","time":"2026-03-07T23:02:38.000Z"}
{"level":"info","router":"a","event":3000,"name":"request-placed","request":"r1","target":"t1","basis":"key","load":2.5,"time":"2026-03-07T23:02:39.000Z"}
{"level":"warn","router":"a","event":3002,"name":"request-tried-again","request":"r1","target":"t1","ending":"lost","reason":"answer-truncated","error":"connection broken","time":"2026-03-07T23:02:39.400Z"}
{"level":"info","router":"a","event":3009,"name":"target-standing","target":"t1","before":"sound","after":"shunned","time":"2026-03-07T23:02:39.399Z"}
not a line of ours
{"level":"info","router":"a","event":3000,"name":"request-placed","request":"r2","target":"t1","time":"2026-03-07T23:02:39.000Z"}
`

const routerALater = `{"level":"warn","router":"a","event":3006,"name":"answer-cut","request":"r1","target":"t2","reason":"retry-budget","time":"2026-03-07T23:02:39.900Z"}
{"level":"info","router":"a","event":3000,"name":"request-placed","request":"r1","target":"t2","basis":"overflow","time":"2026-03-07T23:02:39.401Z"}
`

const routerB = `{"level":"warn","router":"b","event":3102,"name":"store-lost","kind":"config","time":"2026-03-07T23:02:39.000Z"}
`

func TestRequestLines(t *testing.T) {
	lines, err := RequestLines("r1", strings.NewReader(routerB), strings.NewReader(routerALater), strings.NewReader(routerA))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Print(&out, lines); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "story", out.Bytes())
}

func TestUnknownRequestHasNoLines(t *testing.T) {
	lines, err := RequestLines("r9", strings.NewReader(routerA))
	if err != nil || len(lines) != 0 {
		t.Errorf("got lines %v, %v; want none", lines, err)
	}
}

func TestTooLongLineReturnsError(t *testing.T) {
	if _, err := RequestLines("r1", strings.NewReader(strings.Repeat("x", 2*maxLine))); err == nil {
		t.Error("got no error for a line over the limit")
	}
}
