#include "process.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

static double
cpu_seconds (void)
{
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static long
resident_bytes (void)
{
  long total = 0;
  long resident = 0;
  FILE *file = fopen ("/proc/self/statm", "r");
  if (!file)
    return 0;
  if (fscanf (file, "%ld %ld", &total, &resident) != 2)
    resident = 0;
  fclose (file);
  return resident * sysconf (_SC_PAGESIZE);
}

void
process_write_metrics (GString *out, const peers_t *peers)
{
  uint64_t sent;
  uint64_t received;
  peers_traffic (peers, &sent, &received);
  g_string_append_printf (
      out,
      "# TYPE process_cpu_seconds_total counter\n"
      "process_cpu_seconds_total %.3f\n"
      "# TYPE process_resident_memory_bytes gauge\n"
      "process_resident_memory_bytes %ld\n"
      "# TYPE knapweedfork_link_bytes_total counter\n"
      "knapweedfork_link_bytes_total{direction=\"sent\"} %llu\n"
      "knapweedfork_link_bytes_total{direction=\"received\"} %llu\n",
      cpu_seconds (), resident_bytes (), (unsigned long long)sent,
      (unsigned long long)received);
}
