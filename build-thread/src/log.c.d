build-thread/src/log.c.o: src/log.c src/log.h src/util.h
src/log.h:
src/util.h:
