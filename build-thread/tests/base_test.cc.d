build-thread/tests/base_test.cc.o: tests/base_test.cc src/counter.h \
 src/reason.h src/util.h src/log.h src/reason.h src/timer.h src/util.h
src/counter.h:
src/reason.h:
src/util.h:
src/log.h:
src/reason.h:
src/timer.h:
src/util.h:
