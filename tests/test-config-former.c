#include "../platform/platform.h"
#include "../relay/config-former.h"
#include "test.h"

#include <string.h>

#define SERVICES(...)     \
    (const char *[])      \
    {                     \
        __VA_ARGS__, NULL \
    }

/* A route of a configuration: NAME of its service, or two separated by /. */
typedef struct {
    const char *host;
    const char *prefix;
    const char *service;
} route_spec_t;

static json_t *
make_split(const char *service)
{
    const char *second = strchr(service, '/');
    if (second == NULL) {
        return json_pack("[{s:s,s:i}]", "service", service, "weight", 1);
    }
    return json_pack("[{s:s#,s:i},{s:s,s:i}]", "service", service,
                     (size_t)(second - service), "weight", 1, "service",
                     second + 1, "weight", 1);
}

/* Returns a configuration that has replaced an older one, which is freed. */
static relay_config_t *
adopt(relay_config_t *older, int timeout_ms, int64_t now,
      const route_spec_t *routes, size_t count)
{
    err_t err = {0};
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        (void)json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:b,s:o}", "name", "r", "host",
                      routes[i].host, "path_prefix", routes[i].prefix, "kind",
                      "streaming", "timeout_ms", timeout_ms, "resumable", 1,
                      "traffic_split", make_split(routes[i].service)));
    }
    CLEAN_JSON json_t *spec =
        json_pack("{s:i,s:o,s:[]}", "version", 1, "routes", list, "services");
    const store_object_t object = {
        .name = "main", .revision = 1, .spec = spec};
    relay_config_t *config = platform_config_read(&object, &err);
    ck_assert_ptr_nonnull(config);
    if (older != NULL) {
        config_former_take(config, older, now);
        relay_config_release(older);
    }
    return config;
}
#define ADOPT(older, timeout_ms, now, ...)                             \
    adopt(older, timeout_ms, now, (const route_spec_t[]){__VA_ARGS__}, \
          sizeof((route_spec_t[]){__VA_ARGS__}) / sizeof(route_spec_t))

/* Checks at which services streams of a path may have begun; no names: not all
 * of them are known. */
static void
check_services(const relay_config_t *config, const char *path, int64_t now,
               const char **names)
{
    uint64_t services[ROUTE_SERVICES_MAX];
    const route_t *route =
        relay_config_find_route(config, "a.example", 9, path, strlen(path));
    size_t count = config_former_services(route, now, services);
    size_t wanted = 0;
    for (; names[wanted] != NULL; wanted++) {
        bool found = false;
        for (size_t i = 0; i < count; i++) {
            found |= services[i] == str_hash(names[wanted], 0);
        }
        ck_assert_msg(found, "%s is not among the services", names[wanted]);
    }
    ck_assert_uint_eq(count, wanted);
}

/* Guards against a stream whose version is taken for that of the service to
 * which its route has moved. */
START_TEST(a_moved_route_remembers_where_it_led)
{
    relay_config_t *config =
        ADOPT(NULL, 10000, 0, {"a.example", "/x/", "one"});
    check_services(config, "/x/s", 0, SERVICES("one"));
    config = ADOPT(config, 10000, 1000, {"A.Example", "/x/", "two"});
    check_services(config, "/x/s", 1000, SERVICES("one", "two"));
    check_services(config, "/x/s", 13999, SERVICES("one", "two"));
    check_services(config, "/x/s", 14000, SERVICES("two"));
    config = ADOPT(config, 10000, 5000, {"a.example", "/x/", "three"});
    check_services(config, "/x/s", 13999, SERVICES("one", "two", "three"));
    check_services(config, "/x/s", 14000, SERVICES("two", "three"));
    config = ADOPT(config, 10000, 6000, {"a.example", "/x/", "one"});
    check_services(config, "/x/s", 6000, SERVICES("one", "two", "three"));
    check_services(config, "/x/s", 60000, SERVICES("one"));
    relay_config_release(config);
}
END_TEST

/* Guards against the same where a route gets paths of another one. */
START_TEST(paths_remember_where_they_led)
{
    relay_config_t *config = ADOPT(NULL, 10000, 0, {"a.example", "/x/", "one"},
                                   {"b.example", "/x/y/", "other"});
    config = ADOPT(config, 10000, 1000, {"a.example", "/x/", "one"},
                   {"a.example", "/x/y/", "two"});
    check_services(config, "/x/y/s", 1000, SERVICES("one", "two"));
    check_services(config, "/x/s", 1000, SERVICES("one"));
    config = ADOPT(config, 10000, 2000, {"a.example", "/", "three"});
    check_services(config, "/x/y/s", 2000, SERVICES("one", "two", "three"));
    relay_config_release(config);
}
END_TEST

/* Guards against requests that are taken for unknown ones once their route has
 * another name. */
START_TEST(a_route_knows_the_name_before)
{
    relay_config_t *config =
        ADOPT(NULL, 10000, 0, {"a.example", "/x/", "one"});
    const route_t *route =
        relay_config_find_route(config, "a.example", 9, "/x/y/", 5);
    ck_assert_uint_eq(route->former_name, 0);
    config = ADOPT(config, 10000, 0, {"a.example", "/x/y/", "one"},
                   {"c.example", "/x/y/", "one"});
    route = relay_config_find_route(config, "a.example", 9, "/x/y/", 5);
    ck_assert_uint_eq(route->former_name, str_hash("r", 0));
    route = relay_config_find_route(config, "c.example", 9, "/x/y/", 5);
    ck_assert_uint_eq(route->former_name, 0);
    relay_config_release(config);
}
END_TEST

/* Guards against a host that falls silent while it adopts a large
 * configuration. */
START_TEST(many_routes_are_taken_over_in_little_time)
{
    static route_spec_t routes[2500];
    static char prefixes[2500][24];
    relay_config_t *config = NULL;
    for (size_t i = 0; i < 2500; i++) {
        (void)snprintf(prefixes[i], sizeof(prefixes[i]), "/route%zu/2f/", i);
        routes[i] = (route_spec_t){"a.example", prefixes[i], "one"};
    }
    config = adopt(NULL, 10000, 0, routes, 2500);
    relay_config_t *newer = adopt(NULL, 10000, 0, routes, 2500);
    int64_t start_us = time_mono_us();
    config_former_take(newer, config, 0);
    int64_t took_us = time_mono_us() - start_us;
    printf("config-former: %lld us for 2500 routes\n", (long long)took_us);
    ck_assert_int_le(took_us, 100000);
    relay_config_release(newer);
    relay_config_release(config);
}
END_TEST

/* Guards against a guess among the services of a traffic split. */
START_TEST(all_services_of_a_split_count)
{
    relay_config_t *config =
        ADOPT(NULL, 10000, 0, {"a.example", "/x/", "one/two"});
    check_services(config, "/x/s", 0, SERVICES("one", "two"));
    config = ADOPT(config, 10000, 1000, {"a.example", "/x/", "two"});
    check_services(config, "/x/s", 1000, SERVICES("one", "two"));
    check_services(config, "/x/s", 20000, SERVICES("two"));
    relay_config_release(config);
}
END_TEST

/* Guards against a service that is forgotten while its streams last, since
 * there were more. */
START_TEST(more_services_than_are_remembered_are_unknown)
{
    relay_config_t *config = ADOPT(NULL, 10000, 0, {"a.example", "/x/", "s0"});
    for (int i = 1; i <= ROUTE_FORMER_MAX + 1; i++) {
        char name[8];
        (void)snprintf(name, sizeof(name), "s%d", i);
        config = ADOPT(config, 10000, i * 100, {"a.example", "/x/", name});
    }
    check_services(config, "/x/s", 1000, (const char *[]){NULL});
    config = ADOPT(config, 10000, 2000, {"a.example", "/x/", "s9"});
    check_services(config, "/x/s", 2000, (const char *[]){NULL});
    check_services(config, "/x/s", 60000, SERVICES("s9"));
    relay_config_release(config);
}
END_TEST

/* Guards against streams of a longer timeout that are forgotten once a
 * configuration shortens it. */
START_TEST(a_longer_timeout_lasts_as_long_as_its_requests)
{
    const route_spec_t route = {"a.example", "/x/", "one"};
    relay_config_t *config = adopt(NULL, 20000, 0, &route, 1);
    config = adopt(config, 3000, 1000, &route, 1);
    ck_assert_int_eq(config->longest_timeout_ms, 3000);
    ck_assert_int_eq(config_former_timeout_ms(config, 1000), 20000);
    config = adopt(config, 1000, 2000, &route, 1);
    ck_assert_int_eq(config_former_timeout_ms(config, 23999), 20000);
    ck_assert_int_eq(config_former_timeout_ms(config, 24000), 1000);
    config = adopt(config, 30000, 25000, &route, 1);
    ck_assert_int_eq(config_former_timeout_ms(config, 25000), 30000);
    config = adopt(config, 30000, 26000, &route, 1);
    ck_assert_int_eq(config_former_timeout_ms(config, 26000), 30000);
    relay_config_release(config);
}
END_TEST

TEST_MAIN("config-former", a_moved_route_remembers_where_it_led,
          a_route_knows_the_name_before,
          many_routes_are_taken_over_in_little_time,
          paths_remember_where_they_led, all_services_of_a_split_count,
          more_services_than_are_remembered_are_unknown,
          a_longer_timeout_lasts_as_long_as_its_requests)
