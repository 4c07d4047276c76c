package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Terms of the case "stopping".
const (
	// maxTokens is the maximum number of tokens that each chat names; an event holds 6.
	maxTokens = 384
	// shortEvents is the length of the chats before.
	shortEvents = 8
	// longEvents is the length of the chats that use all of their tokens. They take 3.8 s.
	longEvents = maxTokens / 6
	// midChats are sent over connections that were kept, midEvery apart from the signal on, with shortEvents each.
	midChats = 16
	midEvery = 250 * time.Millisecond
	// lateChats are sent over connections that were kept, the first lateAfter the signal.
	lateChats = 8
	lateAfter = 3900 * time.Millisecond
	lateEvery = 100 * time.Millisecond
	chatTime  = 12 * time.Second
)

// playStopping stops a router while clients go on to use the connections that they have to it. Chats are shorter than the
// maximum that they name, and later ones are not.
func playStopping(e *env) (int, error) {
	e.putConfig()
	routers, err := e.startRouters(3, e.store.Addr())
	if err != nil {
		return 0, err
	}
	for i, zone := range zones {
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return 0, err
		}
		defer l.Close()
		if err := e.startWorker(&worker{id: fmt.Sprintf("i-%s-%d", engineService, i), service: engineService, zone: zone}, l, l.Addr().String()); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * time.Second)
	stopped := routers[0]
	kept := make([]*client, midChats+lateChats)
	var tasks sync.WaitGroup
	for i := range kept {
		kept[i] = &client{router: stopped.front, key: apiKey}
		tasks.Go(func() { e.chat(kept[i], fmt.Sprintf("aaaa%012x", i), shortEvents) })
	}
	tasks.Wait()
	signalled := time.Now()
	if e.trouble {
		e.logf("SIGTERM to %s", stopped.name)
		_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(graceTime, stopped.kill)
		defer kill.Stop()
		tasks.Go(func() {
			<-stopped.done
			e.logf("%s has ended", stopped.name)
		})
	}
	for i := range midChats {
		tasks.Go(func() {
			time.Sleep(time.Until(signalled.Add(time.Duration(i) * midEvery)))
			e.chat(kept[i], fmt.Sprintf("bbbb%012x", i), shortEvents)
		})
	}
	var broken atomic.Int64
	for i := range lateChats {
		tasks.Go(func() {
			time.Sleep(time.Until(signalled.Add(lateAfter + time.Duration(i)*lateEvery)))
			got := e.chat(kept[midChats+i], fmt.Sprintf("cccc%012x", i), longEvents)
			// Nothing but the stop of the router disturbs these: their worker goes on, and their time is not over.
			if got.status != 0 && got.err != nil {
				broken.Add(1)
				e.logf("BROKEN: late chat %d was passed on to a worker and cut %.1f s after the signal", i, time.Since(signalled).Seconds())
			}
		})
	}
	tasks.Wait()
	return int(broken.Load()), nil
}

// chat sends one chat and records how it ended.
func (e *env) chat(c *client, id string, n int) reply {
	path := fmt.Sprintf("%s%d", chatPath, n)
	e.logf("client sends %s %s", path, id)
	got := c.send(http.MethodPost, path, id, chatTime, maxTokens)
	e.logf("client %s %s: %s", path, id, got.describe())
	return got
}
