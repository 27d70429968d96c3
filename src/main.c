/* main.c - entry point; the subcommands live in cli.c. */
#include "cli.h"

int main(int argc, char **argv)
{
	return cli_main(argc, argv);
}
