/* Printed by test_catalogue --print=once; do not edit. */
#define ABSENT 0
#define SENDING 1
#define DONE 2
#define UNKNOWN 3
#define RELEASED 4
#define MAY_REPLACE(f, t, o) ((f == 0 && t == 1 && o == 0) || (f == 0 && t == 1 && o == 1) || (f == 0 && t == 4 && o == 0) || (f == 0 && t == 4 && o == 1) || (f == 1 && t == 2 && o == 1) || (f == 1 && t == 3 && o == 1) || (f == 1 && t == 4 && o == 1) || (f == 4 && t == 1 && o == 0) || (f == 4 && t == 1 && o == 1) || (f == 4 && t == 4 && o == 0) || (f == 4 && t == 4 && o == 1))
