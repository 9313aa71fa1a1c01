// Command renames type-checks two checkouts of the workspace and reports where they
// differ by more than names, comments and texts.
//
// Declarations of a package are paired by their syntax, in which every identifier counts
// as equal. The identifiers of each pair are then resolved to the objects that they
// denote. Over the whole workspace, tests included, the old objects must map one to one
// to the new ones, and objects of other modules must be the same. A declaration that has
// no partner, or that contradicts this mapping, is printed; the command then exits 1.
// With -texts it also prints each string literal that differs, outside tests, with the
// call that it is an argument of.
//
// Usage: hack/renames/run REVISION [-texts]
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
)

const module = "dandelionsill.org/"

func main() {
	texts := flag.Bool("texts", false, "print string literals that differ outside tests")
	flag.Parse()
	if flag.NArg() != 4 {
		fmt.Fprintln(os.Stderr, "usage: renames [-texts] OLD-ROOT OLD-PACKAGES NEW-ROOT NEW-PACKAGES (output of go list -deps -test -export -json)")
		os.Exit(2)
	}
	before, err := load(flag.Arg(0), flag.Arg(1))
	if err != nil {
		fmt.Fprintln(os.Stderr, "renames:", err)
		os.Exit(2)
	}
	after, err := load(flag.Arg(2), flag.Arg(3))
	if err != nil {
		fmt.Fprintln(os.Stderr, "renames:", err)
		os.Exit(2)
	}
	c := &comparison{before: before, after: after, toNew: map[string]string{}, toOld: map[string]string{}}
	c.run()
	slices.Sort(c.differences)
	for _, d := range c.differences {
		fmt.Println(d)
	}
	if *texts {
		slices.Sort(c.texts)
		for _, t := range c.texts {
			fmt.Println("text:", t)
		}
	}
	fmt.Printf("%d declarations, %d objects mapped one to one, %d differences\n", c.paired, len(c.toNew), len(c.differences))
	if len(c.differences) > 0 {
		os.Exit(1)
	}
}

// listed is a package as "go list" prints it.
type listed struct {
	ImportPath, Dir, Export, ForTest   string
	GoFiles, TestGoFiles, XTestGoFiles []string
}

// declaration is a top-level declaration of the workspace.
type declaration struct {
	node  ast.Decl
	info  *types.Info
	shape string // its syntax, with identifiers and string literals left out
	title string
	file  string // relative to the checkout's root
}

func (d *declaration) String() string { return d.file + " " + d.title }

// checkout is one type-checked copy of the workspace.
type checkout struct {
	root         string
	fset         *token.FileSet
	packages     map[string]*listed
	checked      map[string]*types.Package
	withTests    map[string]*types.Package // packages together with their internal tests
	outer        types.Importer            // packages of other modules, from export data
	parsed       map[string]*ast.File
	declarations map[string][]*declaration // by package folder
}

func load(root, packages string) (*checkout, error) {
	c := &checkout{
		root: root, fset: token.NewFileSet(), packages: map[string]*listed{}, checked: map[string]*types.Package{},
		withTests: map[string]*types.Package{}, parsed: map[string]*ast.File{}, declarations: map[string][]*declaration{},
	}
	f, err := os.Open(packages)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var own []*listed
	for d := json.NewDecoder(f); ; {
		p := &listed{}
		if err := d.Decode(p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("%s: %w", packages, err)
		}
		if p.ForTest != "" || strings.HasSuffix(p.ImportPath, ".test") {
			continue
		}
		c.packages[p.ImportPath] = p
		if strings.HasPrefix(p.ImportPath, module) {
			own = append(own, p)
		}
	}
	c.outer = importer.ForCompiler(c.fset, "gc", func(path string) (io.ReadCloser, error) {
		if c.packages[path] == nil {
			return nil, fmt.Errorf("package %s is not listed", path)
		}
		return os.Open(c.packages[path].Export)
	})
	for _, p := range own {
		if _, err := c.check(p); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// packageImporter resolves the imports of one package. If tested is set, the importing
// package is an external test of it and gets it together with its internal tests.
type packageImporter struct {
	checkout *checkout
	tested   string
}

func (i packageImporter) Import(path string) (*types.Package, error) {
	if p := i.checkout.withTests[path]; p != nil && path == i.tested {
		return p, nil
	}
	if p := i.checkout.packages[path]; p != nil && strings.HasPrefix(path, module) {
		return i.checkout.check(p)
	}
	return i.checkout.outer.Import(path)
}

// check type-checks a package and its tests once.
func (c *checkout) check(p *listed) (*types.Package, error) {
	if checked := c.checked[p.ImportPath]; checked != nil {
		return checked, nil
	}
	files, err := c.parse(p, p.GoFiles)
	if err != nil {
		return nil, err
	}
	checked, info, err := c.typeCheck(p.ImportPath, files, "")
	if err != nil {
		return nil, err
	}
	c.checked[p.ImportPath] = checked
	if strings.HasPrefix(p.ImportPath, module+"wire/pb") {
		return checked, nil // generated
	}
	c.add(p, files, info)
	if len(p.TestGoFiles) > 0 {
		tests, err := c.parse(p, p.TestGoFiles)
		if err != nil {
			return nil, err
		}
		withTests, info, err := c.typeCheck(p.ImportPath, slices.Concat(files, tests), "")
		if err != nil {
			return nil, err
		}
		c.withTests[p.ImportPath] = withTests
		c.add(p, tests, info)
	}
	if len(p.XTestGoFiles) > 0 {
		tests, err := c.parse(p, p.XTestGoFiles)
		if err != nil {
			return nil, err
		}
		_, info, err := c.typeCheck(p.ImportPath+"_test", tests, p.ImportPath)
		if err != nil {
			return nil, err
		}
		c.add(p, tests, info)
	}
	return checked, nil
}

func (c *checkout) parse(p *listed, names []string) ([]*ast.File, error) {
	var files []*ast.File
	for _, name := range names {
		path := filepath.Join(p.Dir, name)
		if c.parsed[path] == nil {
			f, err := parser.ParseFile(c.fset, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return nil, err
			}
			c.parsed[path] = f
		}
		files = append(files, c.parsed[path])
	}
	return files, nil
}

func (c *checkout) typeCheck(path string, files []*ast.File, tested string) (*types.Package, *types.Info, error) {
	info := &types.Info{Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{}}
	config := types.Config{Importer: packageImporter{c, tested}}
	p, err := config.Check(path, c.fset, files, info)
	return p, info, err
}

func (c *checkout) add(p *listed, files []*ast.File, info *types.Info) {
	folder := strings.TrimPrefix(p.ImportPath, module)
	for _, f := range files {
		file := strings.TrimPrefix(c.fset.Position(f.Pos()).Filename, c.root+"/")
		for _, d := range f.Decls {
			if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.IMPORT {
				continue
			}
			var shape strings.Builder
			writeShape(&shape, reflect.ValueOf(d))
			c.declarations[folder] = append(c.declarations[folder], &declaration{d, info, shape.String(), titleOf(d), file})
		}
	}
}

// object returns a key for the object that an identifier denotes: its position for an
// object of the workspace, its full name for any other.
func (c *checkout) object(id *ast.Ident, info *types.Info) (key string, own bool) {
	if id.Name == "_" {
		return "_", false
	}
	o := info.Uses[id]
	if o == nil {
		o = info.Defs[id]
	}
	switch x := o.(type) {
	case nil: // the package clause, or the symbol of a type switch
		return c.fset.Position(id.Pos()).String(), true
	case *types.PkgName:
		return "package " + x.Imported().Path(), false
	case *types.Var:
		o = x.Origin()
	case *types.Func:
		o = x.Origin()
	}
	at := c.fset.Position(o.Pos())
	if strings.HasPrefix(at.Filename, c.root+"/") && !strings.HasSuffix(at.Filename, ".pb.go") {
		return at.String(), true
	}
	if f, ok := o.(*types.Func); ok {
		return f.FullName(), false
	}
	if o.Pkg() != nil {
		return o.Pkg().Path() + "." + o.Name(), false
	}
	return o.Name(), false
}
