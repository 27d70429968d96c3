/* main.c - entry point; the subcommands live in cli.c. */
#include <stdio.h>

int main(int argc, char **argv)
{
	(void)argc;
	fprintf(stderr, "%s: no subcommands yet\n", argv[0]);
	return 2;
}
