# Completion of fulmargw for bash. Install it as
# /usr/share/bash-completion/completions/fulmargw.
_fulmargw() {
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    local options
    COMPREPLY=()
    if [ "$COMP_CWORD" -eq 1 ]; then
        mapfile -t COMPREPLY < <(
            compgen -W "serve pool explain check patch config state key version --help --version" -- "$current")
        return
    fi
    case $previous in
    --settings | --credential-file)
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        return
        ;;
    --operator | --request | --service)
        return
        ;;
    esac
    case ${COMP_WORDS[1]} in
    serve) options="--settings --help" ;;
    pool) options="--settings --help" ;;
    explain) options="--around-ms --help" ;;
    check) options="--settings --pool --json --help" ;;
    patch | config) options="--operator --credential-file --json --help" ;;
    state) options="--operator --credential-file --request --service --json --help" ;;
    key) options="--stdin --json --help" ;;
    version) options="--json --help" ;;
    *) return ;;
    esac
    if [[ ${COMP_WORDS[1]} =~ ^(patch|explain)$ ]] && [[ $current != -* ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        return
    fi
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
}
complete -o filenames -F _fulmargw fulmargw
