build-thread/src/toml.cc.o: src/toml.cc src/toml.h src/util.h
src/toml.h:
src/util.h:
