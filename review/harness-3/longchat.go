package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// turns is the number of parts of a long chat after the one that crashes workers, with the one that
// belongs to the request.
const turns = 36

// longPrompt returns a prompt whose parts after the first one are those of one chat.
func longPrompt(first string) string {
	parts := []string{first + ":512"}
	for range turns {
		parts = append(parts, fmt.Sprintf("%08x:%d", rand.Uint32(), 40+rand.IntN(60)))
	}
	return strings.Join(parts, ",")
}

// runLongChat sends long chats that share a first part which crashes workers. BUDGET: more than three
// requests with it reach workers later than the stability window after the fifth crash.
func runLongChat(e *env) (bool, error) {
	e.writeConfig(false, 1)
	if err := e.startCrashable(10, e.trouble); err != nil {
		return false, err
	}
	if err := e.startRouters("recife-a", "recife-a", "recife-b", "recife-b", "recife-c", "recife-c"); err != nil {
		return false, err
	}
	e.sleepUntil(5)
	var wait sync.WaitGroup
	var sound tally
	for i := range 40 {
		e.ask(&wait, i, longPrompt(crashPart), "crashing", func(answer) {})
		for j := range 5 {
			e.ask(&wait, i+j, longPrompt(systemPart), "sound", func(a answer) { sound.add(a.first == 1) })
			time.Sleep(200 * time.Millisecond)
		}
	}
	wait.Wait()
	e.stopKeeping()
	arrivals := e.arrivals()
	n, fifth := lastCrash(arrivals)
	late := 0
	for _, a := range arrivals {
		if a.Crash && a.At.After(fifth.Add(stability)) {
			late++
		}
	}
	e.record("%d crashes; %d requests with the part reached workers later than %v after the fifth; sound requests %d, begun %d", n, late, stability, sound.sent, sound.begun)
	return n < 5 || late <= 3, nil
}
