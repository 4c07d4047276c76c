// Package examples embeds the settings of two example deployments. Each is a
// directory in the layout that settings.LoadFS reads.
package examples

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed tocha-viva tsagaan-us
var files embed.FS

// Names of the deployments.
const (
	TochaViva = "tocha-viva"
	TsagaanUs = "tsagaan-us"
)

// Deployment returns the settings directory of a deployment.
func Deployment(name string) (fs.FS, error) {
	dir, err := fs.Sub(files, name)
	if err != nil {
		return nil, fmt.Errorf("examples: %s: %w", name, err)
	}
	return dir, nil
}
