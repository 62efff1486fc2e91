# The settings of one node at a small site. `cresschute check --show deploy/appliance.star` prints all that
# holds, defaults included; docs/settings.md lists every block and field.

node(name = "desk-1", listen = "127.0.0.1:9000")

job_class(name = "lookup", worth = 2, aim = 400 * ms, stretch = 2.5, deadline = 10 * s, effect = "safe")
job_class(name = "report", worth = 1, aim = 1500 * ms, stretch = 2.5, deadline = 25 * s, effect = "safe")
job_class(
    name = "file",
    worth = 5,
    aim = 4 * s,
    stretch = 2,
    deadline = 25 * s,
    effect = "keyed",
    repeat_scope = "cell",
    repeat_window = 40 * s,
)

# Four workers in two cells; the workers of one cell drop a repeated key.
for n in range(4):
    worker(id = "w%d" % n, address = "127.0.0.1:%d" % (9101 + n), cell = n // 2)

limits(attempts = 3, second_copies = True, retry_after = 2 * s)
reports(load = True, starts = True, progress = 1 * s)
logs(format = "text", level = "info")

# Lets consoles connect, and keeps operators' drains over a restart; see docs/console.md.
# control(socket = "/run/cresschute/control.sock")
# state(folder = "/var/lib/cresschute")

# Lets a class have bodies beyond 64 KiB and results that are passed on as they are made; see docs/bodies.md.
# job_class(..., longest_body = 2 * GiB, long_results = True)
# bodies(budget = 64 * MiB)
