build-thread/src/counter.c.o: src/counter.c src/counter.h src/reason.h \
 src/util.h
src/counter.h:
src/reason.h:
src/util.h:
