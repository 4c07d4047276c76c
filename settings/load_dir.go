package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"ragwortpond.example/ragwortpond/objectapi"
)

// LoadDir reads the documents in dir: fleet.json and KIND/NAME.json. Files that
// cannot be read, and files that are no document of a known kind, are findings.
// It does not check the documents; Build does. The objects get the versions 1,
// 2, 3 and so on, so that Build accepts them.
func LoadDir(dir string) ([]objectapi.Object, Findings) {
	return LoadFS(os.DirFS(dir))
}

// LoadFS is LoadDir for an fs.FS.
func LoadFS(dir fs.FS) ([]objectapi.Object, Findings) {
	var objs []objectapi.Object
	var findings Findings
	err := fs.WalkDir(dir, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			findings = append(findings, Finding{File: path, Message: err.Error()})
			return nil
		}
		if entry.IsDir() {
			return nil
		}
		kind, name, ok := parsePath(path)
		if !ok {
			findings = append(findings, Finding{File: path, Message: "not fleet.json or KIND/NAME.json of a known kind"})
			return nil
		}
		data, err := fs.ReadFile(dir, path)
		if err != nil {
			findings = append(findings, Finding{File: path, Message: err.Error()})
			return nil
		}
		version := uint64(len(objs) + 1)
		objs = append(objs, objectapi.Object{Kind: kind, Name: name, Version: version, Data: data})
		return nil
	})
	if err != nil {
		findings = append(findings, Finding{File: ".", Message: err.Error()})
	}
	return objs, findings.sorted()
}

// ParseFileName returns the kind and name of a document from the last elements of
// its path, which must be fleet.json or KIND/NAME.json.
func ParseFileName(path string) (kind, name string, ok bool) {
	dir, file := filepath.Split(filepath.Clean(path))
	if kind, name, ok = parsePath(file); ok {
		return kind, name, true
	}
	return parsePath(filepath.Base(dir) + "/" + file)
}

// parsePath returns the kind and name of a document from its path relative to
// the settings directory.
func parsePath(path string) (kind, name string, ok bool) {
	base, isJSON := strings.CutSuffix(path, ".json")
	if !isJSON {
		return "", "", false
	}
	if base == FleetName {
		return KindFleet, FleetName, true
	}
	kind, name, ok = strings.Cut(base, "/")
	_, known := schemas[kind]
	return kind, name, ok && known && kind != KindFleet && !strings.Contains(name, "/")
}

// readDocumentFile reads a file. Its error omits the path, which the finding
// already gives.
func readDocumentFile(path string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return nil, fmt.Errorf("cannot be read: %w", pathError.Err)
	}
	return data, err
}
