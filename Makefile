.PHONY: check format lint test faults spec generate capacity

check: format lint test faults spec

format:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

lint:
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config revive.toml -exclude './internal/...pb.go' ./...

test:
	bash scripts/test.sh

# Checks that docs/FAULTS.md lists the cells of the fault matrices that pass.
faults:
	bash scripts/faults.sh --check

spec:
	@for script in spec/*/check.sh; do if [ -e "$$script" ]; then bash "$$script" || exit 1; fi; done

# Regenerates the code of the .proto files, which is committed. Needs protoc.
generate:
	@mkdir -p bin
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	@for file in $$(git ls-files '*.proto'); do \
	  PATH="$$PWD/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative $$file || exit 1; \
	done

# Runs the benchmarks that docs/CAPACITY.md is computed from and rewrites its tables.
capacity:
	@mkdir -p out
	go test -run XXX -bench 'Place/two_choices|Match|Admit|Capacity|Grant|Tick' -benchtime 200ms -count 3 \
	  ./internal/place ./internal/prefix ./internal/limit ./internal/filter/identify ./internal/fleet ./internal/observe ./internal/capacity ./internal/ledger > out/capacity.txt
	go test -run XXX -bench 'Capacity.*(InForce|Rest)' -benchtime 1x ./internal/distribute ./internal/replica >> out/capacity.txt
	go run ./cmd/godwityoke capacity --benchmarks out/capacity.txt --page docs/CAPACITY.md
