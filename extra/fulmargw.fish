# Completion of fulmargw for fish. Install it in ~/.config/fish/completions/.
set -l commands serve pool explain check patch config state key version
set -l operator patch config state

complete -c fulmargw -f
complete -c fulmargw -l help -d 'Print help'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -l version -d 'Print the version and the commit'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a serve -d 'Serve callers until SIGTERM or SIGINT'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a check -d 'Check a settings file'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a pool -d 'Proxy callers to the database groups of a platform'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a explain -d 'Print the log lines of a request'
complete -c fulmargw -n "__fish_seen_subcommand_from check" -l pool -d 'Check a settings file of fulmargw pool'
complete -c fulmargw -n "__fish_seen_subcommand_from explain" -l around-ms -x -d 'Time before and after the request, in milliseconds'
complete -c fulmargw -n "__fish_seen_subcommand_from explain" -F
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a patch -d 'Submit a configuration patch to a host'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a config -d 'Print the configuration in force on a host'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a state -d 'Print the state dump of a host'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a key -d 'Print a new random key and its digest'
complete -c fulmargw -n "not __fish_seen_subcommand_from $commands" -a version -d 'Print the version and the commit'
complete -c fulmargw -n "__fish_seen_subcommand_from serve pool check" -l settings -r -F -d 'Settings file'
complete -c fulmargw -n "__fish_seen_subcommand_from $operator" -l operator -x -d 'URL of the operator interface'
complete -c fulmargw -n "__fish_seen_subcommand_from $operator" -l credential-file -r -F -d 'File with the operator credential'
complete -c fulmargw -n "__fish_seen_subcommand_from check key version $operator" -l json -d 'Print JSON on one line'
complete -c fulmargw -n "__fish_seen_subcommand_from state" -l request -x -d 'Print only the routing decisions on this request'
complete -c fulmargw -n "__fish_seen_subcommand_from state" -l service -x -d 'Print only this service'
complete -c fulmargw -n "__fish_seen_subcommand_from key" -l stdin -d 'Read the key from standard input'
complete -c fulmargw -n "__fish_seen_subcommand_from patch" -F
