# Completion of knapweedfork for bash.

_knapweedfork ()
{
  local current=${COMP_WORDS[COMP_CWORD]}
  local previous=${COMP_WORDS[COMP_CWORD - 1]}
  local options='--instance= --token-file= --ca= --json --help --usage'
  local command= word
  COMPREPLY=()
  case $previous in
    -t | --token-file | -c | --ca | -o | --output | --platform | --against)
      compopt -o filenames
      mapfile -t COMPREPLY < <(compgen -f -- "$current")
      return
      ;;
    -i | --instance)
      return
      ;;
  esac
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case $word in
      check | apply | show | key | status)
        command=$word
        break
        ;;
    esac
  done
  case $command in
    '') options="$options --version" ;;
    check) options="$options --platform= --against= --in-force" ;;
    apply) options="$options --dry-run --version=" ;;
    show) options="$options --output=" ;;
    key) options="$options --digest=" ;;
  esac
  if [[ $current == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
    [[ ${#COMPREPLY[@]} -eq 1 && ${COMPREPLY[0]} == *= ]] && compopt -o nospace
    return
  fi
  case $command in
    '') mapfile -t COMPREPLY \
      < <(compgen -W 'check apply show key status' -- "$current") ;;
    check | apply)
      compopt -o filenames
      mapfile -t COMPREPLY < <(compgen -f -- "$current")
      ;;
    show) mapfile -t COMPREPLY < <(compgen -W 'plans uses' -- "$current") ;;
    key) [[ $previous == key ]] && mapfile -t COMPREPLY \
      < <(compgen -W 'add withdraw' -- "$current") ;;
  esac
}
complete -F _knapweedfork knapweedfork
