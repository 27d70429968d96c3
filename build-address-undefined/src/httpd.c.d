build-address-undefined/src/httpd.c.o: src/httpd.c src/httpd.h \
 src/reason.h src/util.h src/log.h
src/httpd.h:
src/reason.h:
src/util.h:
src/log.h:
