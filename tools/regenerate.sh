#!/bin/sh
# Regenerates the committed FlatBuffers code (needs the package flatbuffers-compiler).
set -eu
cd "$(dirname "$0")/.."
for schema in wire shard forecast; do
	flatc --cpp --cpp-std c++17 --gen-object-api --gen-compare --scoped-enums --cpp-ptr-type std::unique_ptr \
		-o src/generated "schema/$schema.fbs"
done
