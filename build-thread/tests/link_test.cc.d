build-thread/tests/link_test.cc.o: tests/link_test.cc src/counter.h \
 src/reason.h src/util.h src/link.h src/decided.h src/timer.h src/log.h
src/counter.h:
src/reason.h:
src/util.h:
src/link.h:
src/decided.h:
src/timer.h:
src/log.h:
