# Shared by the scripts of cases 6 to 10: lib.sh, with settings by the present
# template of the deploy file, and machines that can be cut off from replicas.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

# With LINKED=1 daemons reach servers through links, each from an address of its own.
LINKED=${LINKED:-0}
machine_ip() { echo "127.0.0.$((10 + $1))"; }
# cut_machine N hang|reset|refuse|none: cuts a machine off from all servers
cut_machine() { http "$LINKS" POST /cut "{\"source\":\"$(machine_ip "$1")\",\"how\":\"$2\"}" >/dev/null; }
source_line() { [ "$LINKED" = 0 ] || echo "s/^metrics = .*/&\nsource = $(machine_ip "$1")/"; }

# settings N: deploy/celeryspool.ini.template, filled in for a small deployment
settings() {
    sed -e "s/{{node_name}}/edge-$1/; s/{{zone}}/zone-a/; s/{{listen_addresses.front}}/$(front "$1")/" \
        -e "s/{{listen_addresses.readiness}}/$(ready "$1")/" \
        -e "s/{{ip_address}}:{{internal_port_range.0}}/$(peer "$1")/" \
        -e "s/{{ip_address}}:{{internal_port_range.1}}/$(metrics "$1")/" \
        -e "s/{{platform.address}}/$STORE/; s/{{#seeds}}.*{{\/seeds}}//" \
        -e "s/{{bounds.grace_s}}/8/; s/{{bounds.retry_budget_ratio}}/0.2/" \
        -e "s/{{bounds.retry_budget_slack}}/52/; s/{{bounds.budget_window_s}}/10/" \
        -e "/{{#bounds.quota/d; s/{{#limits.memory_mb}}.*/memory_mb = 260/" \
        -e "s/{{#limits.link_mbps}}.*/link_mbps = 1000/; s/{{bounds.lease_ms}}/3000/" \
        -e "s/{{#limits.file_descriptors}}.*/descriptors = 4100/" \
        -e "s/{{bounds.version_ms}}/10000/" -e "$(source_line "$1")" deploy/celeryspool.ini.template
}
