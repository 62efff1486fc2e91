#!/usr/bin/perl
# Starts a Java program whose descriptor 0 is a listening socket, as the platform does for nodes.
use strict;
use Socket;
socket(my $listener, PF_INET, SOCK_STREAM, 0) or exit 2;
bind($listener, sockaddr_in(0, inet_aton("127.0.0.1"))) or exit 2;
listen($listener, 1024) or exit 2;
my ($port) = sockaddr_in(getsockname($listener));
open(STDIN, "<&", $listener) or exit 2;
exec("java", "-Dlisten=$port", @ARGV);
exit 2;
