// Command outernames lists the names and texts of the workspace that leave a process
// or are matched outside the code: fields of messages and of stored records, enum
// values, headers, paths, settings, flags, environment variables, metrics, spans,
// names of log fields, texts of answers, and log and error messages that a tool or a
// test matches. A change of wording must leave all of them unchanged. The command reads
// the output of "go list -export -deps -json work"; hack/outernames/run calls it.
//
// Each line holds a category, a name quoted as in Go, the number of its uses in code other
// than tests, and the packages that use it. -check compares a list with the code, prints
// every name whose number of uses differs, and exits 1 if there is any.
package main

import (
	"bufio"
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
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const module = "dandelionsill.org/"

// entry is a name in a category.
type entry struct{ category, name string }

// list holds the number of uses of each entry and the packages that use it.
type list struct {
	count    map[entry]int
	packages map[entry]map[string]bool
}

func (l *list) add(category, name, pkg string) {
	e := entry{category, name}
	l.count[e]++
	if l.packages[e] == nil {
		l.packages[e] = map[string]bool{}
	}
	l.packages[e][pkg] = true
}

func (l *list) write(w io.Writer) {
	for _, e := range sorted(l.count) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", e.category, strconv.Quote(e.name), l.count[e], strings.Join(slices.Sorted(maps.Keys(l.packages[e])), " "))
	}
}

func main() {
	check := flag.String("check", "", "compare the code with this list instead of writing one")
	flag.Parse()
	if err := run(*check); err != nil {
		fmt.Fprintln(os.Stderr, "outernames:", err)
		os.Exit(1)
	}
}

func run(check string) error {
	if check == "" {
		matched, err := matchedTexts()
		if err != nil {
			return err
		}
		l, err := collect(matched)
		if err == nil {
			l.write(os.Stdout)
		}
		return err
	}
	before, err := read(check)
	if err != nil {
		return err
	}
	l, err := collect(func(text string) bool {
		return before[entry{"log message", text}]+before[entry{"error matched", text}] > 0
	})
	if err != nil {
		return err
	}
	return compare(before, l.count)
}

// pkg is a package as "go list -json" describes it.
type pkg struct {
	ImportPath string
	Dir        string
	Export     string
	GoFiles    []string
}

// readPackages decodes the output of "go list -json".
func readPackages(r io.Reader) ([]pkg, error) {
	var all []pkg
	for d := json.NewDecoder(r); ; {
		var p pkg
		if err := d.Decode(&p); errors.Is(err, io.EOF) {
			return all, nil
		} else if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
}

// collect lists the names of the packages that standard input describes, and those of the
// protocol. matched reports whether a log or error message is matched outside the code.
func collect(matched func(string) bool) (*list, error) {
	all, err := readPackages(os.Stdin)
	if err != nil {
		return nil, err
	}
	exports := map[string]string{}
	for _, p := range all {
		exports[p.ImportPath] = p.Export
	}
	c := &collector{
		list:    &list{count: map[entry]int{}, packages: map[entry]map[string]bool{}},
		fset:    token.NewFileSet(),
		matched: matched,
		seen:    map[string]bool{},
	}
	c.importer = importer.ForCompiler(c.fset, "gc", func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) })
	for _, p := range all {
		if strings.HasPrefix(p.ImportPath, module) {
			if err := c.load(p); err != nil {
				return nil, fmt.Errorf("%s: %w", p.ImportPath, err)
			}
		}
	}
	return c.list, addProto(c.list, "wire/dandelion.proto")
}

// matchedTexts returns a function that reports whether a tool or a test contains a message:
// a message of several words anywhere in its text, a message of one word only in quotes.
func matchedTexts() (func(string) bool, error) {
	var b strings.Builder
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path == ".git" || path == "journal" || path == "docs" || path == filepath.Join("hack", "outernames") {
				return fs.SkipDir
			}
			return nil
		}
		first, _, _ := strings.Cut(path, "/")
		if !slices.Contains(matching, first) && !strings.HasPrefix(path, "ctl/logscan/") && !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		b.Write(data)
		b.WriteByte('\n')
		return err
	})
	held := b.String()
	return func(text string) bool {
		if bare := strings.TrimSuffix(text, "."); strings.Contains(bare, " ") {
			return strings.Contains(held, bare)
		}
		return strings.HasSuffix(text, ".") && strings.Contains(held, strconv.Quote(text))
	}, err
}

// matching lists the folders and files outside the code that may match messages.
var matching = []string{"examples", "hack", "bench", "deploy", "Makefile"}

type collector struct {
	list     *list
	fset     *token.FileSet
	importer types.Importer
	matched  func(string) bool // reports whether a message is matched outside the code
	seen     map[string]bool   // types whose fields have been listed
	info     *types.Info
	name     string // the current package's path without the module prefix
}

// load parses and type-checks a package and lists its names. Generated protobuf code is
// left out: addProto lists its names.
func (c *collector) load(p pkg) error {
	c.info = &types.Info{Types: map[ast.Expr]types.TypeAndValue{}, Uses: map[*ast.Ident]types.Object{}}
	c.name = strings.TrimPrefix(p.ImportPath, module)
	if strings.HasPrefix(c.name, "wire/pb") {
		return nil
	}
	var files []*ast.File
	for _, name := range p.GoFiles {
		f, err := parser.ParseFile(c.fset, filepath.Join(p.Dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		files = append(files, f)
	}
	config := types.Config{Importer: c.importer}
	if _, err := config.Check(p.ImportPath, c.fset, files, c.info); err != nil {
		return err
	}
	for _, f := range files {
		c.walk(f)
	}
	return nil
}

// walk visits the nodes of a file and lists its struct tags, encoded fields and literals.
func (c *collector) walk(f *ast.File) {
	var stack []ast.Node
	ast.Inspect(f, func(n ast.Node) bool {
		if n == nil {
			stack = stack[:len(stack)-1]
			return true
		}
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if n.Tag != nil {
				c.tag(n)
			}
		case *ast.CallExpr:
			c.encoded(n)
		case *ast.BasicLit:
			if field, ok := stack[len(stack)-1].(*ast.Field); n.Kind == token.STRING && (!ok || field.Tag != n) {
				c.literal(n, stack)
			}
		}
		stack = append(stack, n)
		return true
	})
}

var tagPart = regexp.MustCompile(`([A-Za-z_]+):"((?:[^"\\]|\\.)*)"`)

// tag lists every key and value of a struct tag, help texts included: "--help" prints them.
func (c *collector) tag(f *ast.Field) {
	text, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return
	}
	for _, m := range tagPart.FindAllStringSubmatch(text, -1) {
		name := m[2]
		if m[1] == "json" {
			name, _, _ = strings.Cut(name, ",")
		}
		c.list.add("field "+m[1], name, c.name)
	}
}

// literal lists a string literal in the category of the function that it is passed to. A
// log or error message that is not matched outside the code is left out.
func (c *collector) literal(lit *ast.BasicLit, stack []ast.Node) {
	text, err := strconv.Unquote(lit.Value)
	if err != nil || text == "" {
		return
	}
	category := "text"
	switch callee, arg := c.callOf(lit, stack); {
	case strings.HasPrefix(callee, "go.uber.org/zap.") && arg == 0:
		category = "log field"
	case isLog(callee):
		if !c.matched(text) {
			return // a message that may be reworded
		}
		category = "log message"
	case isError(callee):
		if !c.matched(text) {
			return
		}
		category = "error matched"
	case strings.HasPrefix(callee, module+"base/metrics."):
		category = "metric"
	case strings.HasPrefix(callee, "(go.opentelemetry.io/otel/trace.Tracer)"), strings.HasPrefix(callee, "go.opentelemetry.io/otel/attribute."), strings.Contains(callee, module+"base/trace."):
		category = "span"
	case strings.Contains(callee, "net/http.Header)"):
		category = "header"
	case strings.HasPrefix(callee, "(*flag.FlagSet)"), strings.HasPrefix(callee, "flag."):
		category = "flag"
	case strings.HasPrefix(callee, "os.Getenv"), strings.HasPrefix(callee, "os.LookupEnv"):
		category = "environment"
	case strings.Contains(callee, module+"kinds."):
		category = "answer"
	}
	c.list.add(category, text, c.name)
}

// isLog reports whether callee writes a log line.
func isLog(callee string) bool {
	name := callee[strings.LastIndex(callee, ".")+1:]
	return strings.HasPrefix(callee, "(*go.uber.org/zap.Logger).") && slices.Contains([]string{"Debug", "Info", "Warn", "Error", "Log", "Check"}, name)
}

// isError reports whether callee creates an error or panics.
func isError(callee string) bool {
	return strings.HasPrefix(callee, "github.com/juju/errors.") || callee == "errors.New" || callee == "fmt.Errorf" || callee == "panic"
}

// callOf returns the full name of the function that the literal is passed to, also as part
// of a concatenation or in parentheses, and the index of the argument. The name is empty if
// there is none.
func (c *collector) callOf(lit ast.Node, stack []ast.Node) (string, int) {
	child := lit
	for i := len(stack) - 1; i >= 0; i-- {
		switch n := stack[i].(type) {
		case *ast.BinaryExpr, *ast.ParenExpr:
			child = n
			continue
		case *ast.CallExpr:
			arg := slices.IndexFunc(n.Args, func(e ast.Expr) bool { return ast.Node(e) == child })
			if arg < 0 {
				return "", 0
			}
			return c.callee(n), arg
		}
		return "", 0
	}
	return "", 0
}

// callee returns the full name of the called function, or "" if it is not known.
func (c *collector) callee(call *ast.CallExpr) string {
	var id *ast.Ident
	switch f := ast.Unparen(call.Fun).(type) {
	case *ast.Ident:
		id = f
	case *ast.SelectorExpr:
		id = f.Sel
	default:
		return ""
	}
	switch o := c.info.Uses[id].(type) {
	case *types.Func:
		return o.FullName()
	case *types.Builtin:
		return o.Name()
	}
	return ""
}

// encoders maps each function that encodes or decodes a value to the index of the argument
// that holds the value.
var encoders = map[string]int{
	"encoding/json.Marshal": 0, "encoding/json.MarshalIndent": 0, "encoding/json.Unmarshal": 1,
	"(*encoding/json.Encoder).Encode": 0, "(*encoding/json.Decoder).Decode": 0,
	"(*encoding/gob.Encoder).Encode": 0, "(*encoding/gob.Decoder).Decode": 0,
	"go.uber.org/zap.Any": 1, "go.uber.org/zap.Reflect": 1,
}

// encoded lists the untagged fields of a value that a call encodes or decodes, because they
// are encoded under their Go names. The workspace's own functions may pass a parameter on to
// an encoder, so the fields of every value that is passed to one of them as an empty
// interface are listed too.
func (c *collector) encoded(call *ast.CallExpr) {
	name := c.callee(call)
	if arg, ok := encoders[name]; ok && arg < len(call.Args) {
		c.fields(c.info.Types[call.Args[arg]].Type)
		return
	}
	if !strings.Contains(name, module) {
		return
	}
	signature, ok := c.info.Types[call.Fun].Type.(*types.Signature)
	if !ok {
		return
	}
	for i, arg := range call.Args {
		p := min(i, signature.Params().Len()-1)
		if p < 0 {
			return
		}
		if t, ok := signature.Params().At(p).Type().Underlying().(*types.Interface); ok && t.Empty() {
			c.fields(c.info.Types[arg].Type)
		}
	}
}

// fields lists the fields of the struct types that t refers to. Named types outside the
// workspace, generated ones and those listed already are left out.
func (c *collector) fields(t types.Type) {
	switch t := t.(type) {
	case *types.Alias:
		c.fields(types.Unalias(t))
	case *types.Pointer:
		c.fields(t.Elem())
	case *types.Slice:
		c.fields(t.Elem())
	case *types.Array:
		c.fields(t.Elem())
	case *types.Map:
		c.fields(t.Elem())
	case *types.Named:
		o := t.Obj()
		if o.Pkg() == nil || !strings.HasPrefix(o.Pkg().Path()+"/", module) || strings.Contains(o.Pkg().Path(), "/wire/pb") || c.seen[t.String()] {
			return
		}
		c.seen[t.String()] = true
		c.structure(t.Underlying(), strings.TrimPrefix(o.Pkg().Path(), module))
	case *types.Struct:
		c.structure(t, c.name)
	}
}

// structure lists the untagged exported fields of a struct type, and those of its fields'
// types. Other types are passed to fields.
func (c *collector) structure(t types.Type, pkg string) {
	s, ok := t.(*types.Struct)
	if !ok {
		c.fields(t)
		return
	}
	for i := range s.NumFields() {
		f := s.Field(i)
		if !f.Exported() {
			continue
		}
		if tag := reflect.StructTag(s.Tag(i)); tag.Get("json") == "" && tag.Get("ini") == "" && !f.Embedded() {
			c.list.add("field untagged", f.Name(), pkg)
		}
		c.fields(f.Type())
	}
}

var protoName = regexp.MustCompile(`(?m)^\s*(?:(message|enum|service|rpc|oneof)\s+(\w+)|(?:repeated\s+|optional\s+)?(?:map<[^>]*>|[\w.]+)\s+(\w+)\s*=\s*\d+|(\w+)\s*=\s*\d+\s*;)`)

// addProto lists the names of a .proto file.
func addProto(l *list, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, m := range protoName.FindAllStringSubmatch(string(data), -1) {
		l.add("proto", m[2]+m[3]+m[4], "wire")
	}
	return nil
}

// read reads a list that this command wrote and returns the number of uses by entry.
func read(path string) (map[entry]int, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	before := map[entry]int{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		parts := strings.Split(lines.Text(), "\t")
		if len(parts) != 4 {
			return nil, fmt.Errorf("%s: line does not have 4 fields separated by tabs: %q", path, lines.Text())
		}
		name, err := strconv.Unquote(parts[1])
		if err != nil {
			return nil, err
		}
		if before[entry{parts[0], name}], err = strconv.Atoi(parts[2]); err != nil {
			return nil, err
		}
	}
	return before, nil
}

// compare prints the entries whose number of uses differs between the list and the code
// and returns an error if there are any.
func compare(before, now map[entry]int) error {
	differ := 0
	both := maps.Clone(before)
	maps.Copy(both, now)
	for _, e := range sorted(both) {
		if before[e] != now[e] {
			differ++
			fmt.Printf("%s %q: %d before, %d now\n", e.category, e.name, before[e], now[e])
		}
	}
	fmt.Printf("names that leave the process: %d listed, %d found as often as listed, %d differ\n", len(before), len(both)-differ, differ)
	if differ > 0 {
		return errors.New("the list and the code differ")
	}
	return nil
}

func sorted(m map[entry]int) []entry {
	return slices.SortedFunc(maps.Keys(m), func(a, b entry) int {
		return strings.Compare(a.category+"\t"+a.name, b.category+"\t"+b.name)
	})
}
