#ifndef CELERYSPOOL_TEST_H
#define CELERYSPOOL_TEST_H

/* The main function of all test programs: one suite each, run without forking
 * so that the sanitizers see everything. */

#include <check.h>
#include <sodium.h>
#include <stdlib.h>

#define TEST_MAIN(name, ...)                                          \
    int main(void)                                                    \
    {                                                                 \
        const TTest *const tests[] = {__VA_ARGS__};                   \
        Suite *suite = suite_create(name);                            \
        TCase *tcase = tcase_create(name);                            \
        if (sodium_init() < 0) {                                      \
            return EXIT_FAILURE;                                      \
        }                                                             \
        tcase_set_timeout(tcase, 300);                                \
        for (size_t i = 0; i < sizeof(tests) / sizeof(*tests); i++) { \
            tcase_add_test(tcase, tests[i]);                          \
        }                                                             \
        suite_add_tcase(suite, tcase);                                \
        SRunner *runner = srunner_create(suite);                      \
        srunner_set_fork_status(runner, CK_NOFORK);                   \
        srunner_run_all(runner, CK_NORMAL);                           \
        int failed = srunner_ntests_failed(runner);                   \
        srunner_free(runner);                                         \
        return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;             \
    }

#endif
