# The settings of the demo's node. DIRECTOR and WORKERS are put before this text when the fleet has its ports.

node(name = "demo", listen = "127.0.0.1:0")
director(address = DIRECTOR, ask_within = 6 * s)
for id, address, kind, cell in WORKERS:
    worker(id = id, address = address, kind = kind, cell = cell)

job_class(name = "lookup", worth = 2, aim = 400 * ms, stretch = 2.5, deadline = 4 * s, effect = "safe")
job_class(name = "report", worth = 1, aim = 1.5 * s, stretch = 2.5, deadline = 10 * s, effect = "safe")
job_class(name = "file", worth = 5, aim = 4 * s, stretch = 2, deadline = 10 * s, effect = "keyed",
          repeat_scope = "cell", repeat_window = 40 * s)

limits(attempts = 5, second_copies = True, retry_after = 2 * s, sockets = 2048)
reports(load = True, starts = True, progress = 1 * s)
cold_start(from_share = 0.32, warm_within = 8 * s, overload = 3, tip_after = 1 * s)
