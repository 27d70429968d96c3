build-thread/src/timer.c.o: src/timer.c src/timer.h src/util.h
src/timer.h:
src/util.h:
