build-thread/tests/settings_test.cc.o: tests/settings_test.cc \
 src/settings.h src/decided.h src/util.h src/toml.h
src/settings.h:
src/decided.h:
src/util.h:
src/toml.h:
