package standin

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/objectapi"
)

const octetStream = "application/octet-stream"

// faultsBody is the body of a PUT to faultsPath. Omitted faults keep their values;
// compact drops the log of changes.
type faultsBody struct {
	Faults
	Compact bool `json:"compact"`
}

var errorStatuses = []struct {
	err    error
	status int
}{
	{objectapi.ErrNotFound, 404},
	{objectapi.ErrConflict, 409},
	{objectapi.ErrCompacted, 410},
	{objectapi.ErrTooLarge, 413},
	{objectapi.ErrRateLimited, 429},
	{objectapi.ErrUnavailable, 503},
}

func (p *Platform) get(_ context.Context, c *app.RequestContext) {
	object, err := p.Get(p.context, param(c, "kind"), param(c, "name"))
	if err != nil {
		writeError(c, err)
		return
	}
	setVersion(c, object.Version)
	c.Data(200, octetStream, object.Data)
}

func (p *Platform) write(_ context.Context, c *app.RequestContext) {
	ifVersion, err := strconv.ParseUint(c.Query(objectapi.IfVersionParam), 10, 64)
	if err != nil {
		c.String(400, err.Error())
		return
	}
	kind, name := param(c, "kind"), param(c, "name")
	var version uint64
	if c.Query(objectapi.DeleteParam) != "" {
		version, err = p.Delete(p.context, kind, name, ifVersion)
	} else {
		version, err = p.Put(p.context, kind, name, c.Request.Body(), ifVersion)
	}
	if err != nil {
		writeError(c, err)
		return
	}
	setVersion(c, version)
	c.SetStatusCode(200)
}

func (p *Platform) list(_ context.Context, c *app.RequestContext) {
	objects, revision, err := p.List(p.context, param(c, "kind"))
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(200, objectapi.ListResponse{Objects: objects, Revision: revision})
}

func (p *Platform) watch(_ context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.Query(objectapi.FromParam), 10, 64)
	if err != nil {
		c.String(400, err.Error())
		return
	}
	waitMS, err := strconv.ParseInt(c.Query(objectapi.WaitParam), 10, 64)
	if err != nil {
		c.String(400, err.Error())
		return
	}
	kinds := strings.Split(c.Query(objectapi.KindsParam), ",")
	changes, revision, err := p.Watch(p.context, kinds, from, time.Duration(waitMS)*time.Millisecond)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(200, objectapi.WatchResponse{Changes: changes, Revision: revision})
}

func (p *Platform) vms(_ context.Context, c *app.RequestContext) {
	vms, err := p.VMs(p.context)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(200, vms)
}

func (p *Platform) setVMs(_ context.Context, c *app.RequestContext) {
	var vms []objectapi.VM
	if err := json.Unmarshal(c.Request.Body(), &vms); err != nil {
		c.String(400, err.Error())
		return
	}
	p.SetVMs(vms)
	c.SetStatusCode(204)
}

func (p *Platform) getFaults(_ context.Context, c *app.RequestContext) {
	c.JSON(200, p.Faults())
}

func (p *Platform) setFaults(_ context.Context, c *app.RequestContext) {
	body := faultsBody{Faults: p.Faults()}
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		c.String(400, err.Error())
		return
	}
	p.SetFaults(body.Faults)
	if body.Compact {
		p.Compact()
	}
	c.JSON(200, p.Faults())
}

func (p *Platform) getCounts(_ context.Context, c *app.RequestContext) {
	c.JSON(200, p.Counts())
}

// param returns a copy of a path parameter; the server reuses its buffers.
func param(c *app.RequestContext, name string) string {
	return strings.Clone(c.Param(name))
}

func setVersion(c *app.RequestContext, version uint64) {
	c.Response.Header.Set(objectapi.VersionHeader, strconv.FormatUint(version, 10))
}

// writeError sends the status of err. An error without a status, such as that of a
// lost answer, closes the connection instead.
func writeError(c *app.RequestContext, err error) {
	for _, entry := range errorStatuses {
		if errors.Is(err, entry.err) {
			c.String(entry.status, err.Error())
			return
		}
	}
	_ = c.GetConn().Close()
}
