build-address-undefined/src/settings.c.o: src/settings.c src/settings.h \
 src/decided.h src/util.h src/log.h src/toml.h
src/settings.h:
src/decided.h:
src/util.h:
src/log.h:
src/toml.h:
