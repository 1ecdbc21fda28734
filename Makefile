# Targets for developers. CI calls the target test through .ci/run.
.PHONY: build demo test lint bench race

build:
	go build -o bin/ ./cmd/...

demo: build
	./bin/laburnumpass demo

test:
	go test -count=1 ./... ./api/...

race:
	go test -race ./internal/... ./api/...

lint:
	@files="$$(gofmt -l $$(git ls-files '*.go'))"; if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	go vet ./... ./api/...
	go tool staticcheck ./... ./api/...

bench: build
	./bin/laburnumpass bench
