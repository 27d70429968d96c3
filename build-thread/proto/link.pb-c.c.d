build-thread/proto/link.pb-c.c.o: proto/link.pb-c.c proto/link.pb-c.h
proto/link.pb-c.h:
