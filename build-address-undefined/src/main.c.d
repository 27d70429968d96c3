build-address-undefined/src/main.c.o: src/main.c
