build-thread/src/reason.c.o: src/reason.c src/reason.h src/util.h
src/reason.h:
src/util.h:
