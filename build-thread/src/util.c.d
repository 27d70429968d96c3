build-thread/src/util.c.o: src/util.c src/util.h
src/util.h:
