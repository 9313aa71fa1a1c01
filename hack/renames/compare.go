package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// comparison pairs the declarations of two checkouts and collects the mapping of objects.
type comparison struct {
	before, after *checkout
	toNew, toOld  map[string]string
	paired        int
	differences   []string
	texts         []string
}

// group holds the declarations of one package that have the same shape.
type group struct{ before, after []*declaration }

// run pairs the declarations whose shape occurs once before the others, which are then
// paired by how well they agree with the mapping so far.
func (c *comparison) run() {
	groups := c.groups()
	for _, g := range groups {
		if len(g.before) == 1 {
			c.pair(g.before[0], g.after[0])
		}
	}
	for _, g := range groups {
		if len(g.before) == 1 {
			continue
		}
		rest := slices.Clone(g.after)
		for _, old := range g.before {
			best := slices.MinFunc(rest, func(a, b *declaration) int { return c.distance(old, a) - c.distance(old, b) })
			rest = slices.DeleteFunc(rest, func(d *declaration) bool { return d == best })
			c.pair(old, best)
		}
	}
}

// groups reports shapes that do not occur equally often and returns the others.
func (c *comparison) groups() []*group {
	folders := maps.Clone(c.before.declarations)
	maps.Copy(folders, c.after.declarations)
	var all []*group
	for _, folder := range slices.Sorted(maps.Keys(folders)) {
		byShape := map[string]*group{}
		at := func(d *declaration) *group {
			if byShape[d.shape] == nil {
				byShape[d.shape] = &group{}
			}
			return byShape[d.shape]
		}
		for _, d := range c.before.declarations[folder] {
			g := at(d)
			g.before = append(g.before, d)
		}
		for _, d := range c.after.declarations[folder] {
			g := at(d)
			g.after = append(g.after, d)
		}
		for _, shape := range slices.Sorted(maps.Keys(byShape)) {
			g := byShape[shape]
			if len(g.before) == len(g.after) {
				all = append(all, g)
				continue
			}
			for _, d := range g.before {
				c.differences = append(c.differences, fmt.Sprintf("no partner in new: %v", d))
			}
			for _, d := range g.after {
				c.differences = append(c.differences, fmt.Sprintf("no partner in old: %v", d))
			}
		}
	}
	return all
}

// use is a pair of identifiers at the same position in two declarations.
type use struct {
	oldName, newName string
	oldKey, newKey   string
	own              bool // both denote objects of the workspace
	outer            bool // neither denotes one
}

// contradiction returns the first pair of identifiers that does not agree with the
// mapping of objects so far, and how many there are.
func (c *comparison) contradiction(uses []use) (first string, count int) {
	toNew, toOld := map[string]string{}, map[string]string{}
	for _, u := range uses {
		agrees := u.own && agree(c.toNew, toNew, u.oldKey, u.newKey) && agree(c.toOld, toOld, u.newKey, u.oldKey) ||
			u.outer && u.oldKey == u.newKey
		if !agrees {
			if count++; count == 1 {
				first = fmt.Sprintf("%s (%s), now %s (%s)", u.oldName, u.oldKey, u.newName, u.newKey)
			}
		}
	}
	return first, count
}

// agree reports whether from maps to to, and records it in local.
func agree(known, local map[string]string, from, to string) bool {
	for _, m := range []map[string]string{known, local} {
		if x, ok := m[from]; ok && x != to {
			return false
		}
	}
	local[from] = to
	return true
}

// distance returns how unlikely it is that two declarations of the same shape are the same
// one: contradictions of the mapping count most, then identifiers that it does not pair
// yet, and a different title or file.
func (c *comparison) distance(before, after *declaration) int {
	uses, _ := c.walkPair(before, after)
	_, contradictions := c.contradiction(uses)
	d := 1000 * contradictions
	for _, u := range uses {
		if u.own && c.toNew[u.oldKey] != u.newKey {
			d++
		}
	}
	if before.title != after.title {
		d++
	}
	if before.file != after.file {
		d++
	}
	return d
}

func (c *comparison) pair(before, after *declaration) {
	c.paired++
	uses, texts := c.walkPair(before, after)
	if first, n := c.contradiction(uses); n > 0 {
		c.differences = append(c.differences, fmt.Sprintf("%v, now %v: %d identifiers differ, first %s", before, after, n, first))
		return
	}
	for _, u := range uses {
		if u.own {
			c.toNew[u.oldKey], c.toOld[u.newKey] = u.newKey, u.oldKey
		}
	}
	if !strings.HasSuffix(after.file, "_test.go") {
		c.texts = append(c.texts, texts...)
	}
}

func (c *comparison) walkPair(before, after *declaration) ([]use, []string) {
	w := &pairWalk{c: c, before: before, after: after}
	w.walk(reflect.ValueOf(before.node), reflect.ValueOf(after.node))
	return w.uses, w.texts
}

// pairWalk visits two declarations of the same shape side by side.
type pairWalk struct {
	c             *comparison
	before, after *declaration
	uses          []use
	texts         []string
	callee        string // function whose arguments are being visited
}

func (w *pairWalk) walk(a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Interface, reflect.Pointer:
		if a.IsNil() {
			return
		}
		switch x := a.Interface().(type) {
		case *ast.Ident:
			y := b.Interface().(*ast.Ident)
			oldKey, oldOwn := w.c.before.object(x, w.before.info)
			newKey, newOwn := w.c.after.object(y, w.after.info)
			w.uses = append(w.uses, use{x.Name, y.Name, oldKey, newKey, oldOwn && newOwn, !oldOwn && !newOwn})
			return
		case *ast.BasicLit:
			if y := b.Interface().(*ast.BasicLit); x.Value != y.Value {
				w.texts = append(w.texts, fmt.Sprintf("%s\t%s\t%s\t%s", w.after.file, w.callee, x.Value, y.Value))
			}
			return
		case *ast.CallExpr:
			outer := w.callee
			w.callee = calleeName(x)
			w.walk(a.Elem(), b.Elem())
			w.callee = outer
			return
		}
		w.walk(a.Elem(), b.Elem())
	case reflect.Struct:
		after := parts(b)
		for i, part := range parts(a) {
			w.walk(part, after[i])
		}
	case reflect.Slice:
		for i := range a.Len() {
			w.walk(a.Index(i), b.Index(i))
		}
	}
}

func calleeName(c *ast.CallExpr) string {
	switch f := ast.Unparen(c.Fun).(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		if x, ok := f.X.(*ast.Ident); ok {
			return x.Name + "." + f.Sel.Name
		}
		return "." + f.Sel.Name
	}
	return ""
}

// parts lists the fields of a syntax node that are compared. Positions and comments are
// left out. Of the positions Ellipsis and Assign only their presence is compared: a call
// passes a slice as its variadic arguments, and a type is an alias.
func parts(v reflect.Value) []reflect.Value {
	var out []reflect.Value
	for i := range v.NumField() {
		field := v.Type().Field(i)
		switch field.Type {
		case reflect.TypeFor[token.Pos]():
			if field.Name == "Ellipsis" || field.Name == "Assign" {
				out = append(out, reflect.ValueOf(v.Field(i).Int() != 0))
			}
			continue
		case reflect.TypeFor[*ast.CommentGroup](), reflect.TypeFor[*ast.Object]():
			continue
		}
		if field.IsExported() {
			out = append(out, v.Field(i))
		}
	}
	return out
}

// writeShape writes a node's syntax without identifiers and string literals; struct tags
// and all other literals count.
func writeShape(b *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		if v.IsNil() {
			b.WriteString("nil")
			return
		}
		switch n := v.Interface().(type) {
		case *ast.Ident:
			b.WriteByte('#')
			return
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				b.WriteString(`""`)
			} else {
				b.WriteString(n.Value)
			}
			return
		case *ast.Field:
			if n.Tag != nil {
				b.WriteString(n.Tag.Value)
			}
		}
		writeShape(b, v.Elem())
	case reflect.Struct:
		b.WriteString("(" + v.Type().Name())
		for _, part := range parts(v) {
			b.WriteByte(' ')
			writeShape(b, part)
		}
		b.WriteByte(')')
	case reflect.Slice:
		b.WriteByte('[')
		for i := range v.Len() {
			writeShape(b, v.Index(i))
			b.WriteByte(',')
		}
		b.WriteByte(']')
	default:
		fmt.Fprintf(b, "%v", v.Interface())
	}
}

func titleOf(d ast.Decl) string {
	if f, ok := d.(*ast.FuncDecl); ok {
		return f.Name.Name
	}
	g := d.(*ast.GenDecl)
	names := []string{g.Tok.String()}
	for _, s := range g.Specs {
		switch s := s.(type) {
		case *ast.TypeSpec:
			names = append(names, s.Name.Name)
		case *ast.ValueSpec:
			for _, n := range s.Names {
				names = append(names, n.Name)
			}
		}
	}
	return strings.Join(names, " ")
}
