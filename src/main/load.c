#include "cli.h"
int cmd_load(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return 0;
}
