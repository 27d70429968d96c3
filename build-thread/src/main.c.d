build-thread/src/main.c.o: src/main.c
