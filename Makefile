# build, test, lint and run; `make run` and `make toy` want a terminal each, `make ask` a third.
.PHONY: build test lint run toy ask clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DQUILLGRADE_TESTS=ON
	cmake --build build -j4

test: build
	ctest --test-dir build --output-on-failure

lint:
	clang-format --dry-run -Werror $$(git ls-files '*.cpp' '*.hpp')
	! grep -nE '.{111,}' $$(git ls-files '*.cpp' '*.hpp')
	test $$(grep -cv '^[[:space:]]*$$' src/control.cpp) -le 760

run: build
	PROXY_CONFIG=example/config.json build/quillgrade

toy: build
	build/quillgrade_toy serve

ask: build
	build/quillgrade_toy ask 7f3a9c21e0b4d655 0

clean:
	rm -rf build
