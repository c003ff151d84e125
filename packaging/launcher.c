/*
 * Launcher of the one-file program. It unpacks the folder that follows it in its own file into a
 * directory of its own and replaces itself with the program there by execv, so that the process
 * keeps its identifier and never has a child or a parent of its own making.
 *
 * The file ends in the archive (ustar), its size and the digest that names the directory. The
 * directory lies under GODWITPATH_UNPACK_DIR, or /tmp. It is unpacked once and used again.
 */
#define _XOPEN_SOURCE 700
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define BLOCK 512
#define DIGEST_CHARS 32

struct trailer {
    char digest[DIGEST_CHARS];
    char size[16];
};

static void fail(const char *what, const char *name) {
    fprintf(stderr, "godwitpath: cannot %s %s: %s\n", what, name, strerror(errno));
    exit(1);
}

static void checked_format(char *out, size_t room, const char *a, const char *b, const char *c) {
    if (snprintf(out, room, "%s%s%s", a, b, c) >= (int)room) {
        errno = ENAMETOOLONG;
        fail("use the path", a);
    }
}

static void write_file(FILE *in, const char *path, long size, int mode) {
    static char buffer[1 << 16];
    int out = open(path, O_WRONLY | O_CREAT | O_EXCL | O_NOFOLLOW, mode);
    if (out < 0)
        fail("create", path);
    for (long left = size; left > 0;) {
        size_t wanted = left < (long)sizeof buffer ? (size_t)left : sizeof buffer;
        size_t got = fread(buffer, 1, wanted, in);
        if (got == 0 || write(out, buffer, got) != (ssize_t)got)
            fail("write", path);
        left -= (long)got;
    }
    if (close(out) != 0)
        fail("write", path);
    fseek(in, (BLOCK - size % BLOCK) % BLOCK, SEEK_CUR);
}

/* Unpacks the members of the archive; the parents of each member come before it. */
static void unpack(FILE *in, const char *directory) {
    char head[BLOCK], name[PATH_MAX], path[PATH_MAX], link[101];
    while (fread(head, 1, BLOCK, in) == BLOCK && head[0] != '\0') {
        long size = strtol(head + 124, NULL, 8);
        int mode = (int)strtol(head + 100, NULL, 8) & 0755;
        if (head[345] != '\0')
            snprintf(name, sizeof name, "%.155s/%.100s", head + 345, head);
        else
            snprintf(name, sizeof name, "%.100s", head);
        checked_format(path, sizeof path, directory, "/", name);
        snprintf(link, sizeof link, "%.100s", head + 157);
        if (head[156] == '5') {
            if (mkdir(path, 0755) != 0 && errno != EEXIST)
                fail("create", path);
        } else if (head[156] == '2') {
            if (symlink(link, path) != 0)
                fail("create", path);
        } else {
            write_file(in, path, size, mode);
        }
    }
}

/* Refuses a directory that somebody else may have filled. */
static void require_own(const char *directory) {
    struct stat status;
    if (lstat(directory, &status) != 0)
        fail("read", directory);
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid() || (status.st_mode & 022) != 0) {
        errno = EPERM;
        fail("trust", directory);
    }
}

static int remove_one(const char *path, const struct stat *status, int kind, struct FTW *ftw) {
    (void)status, (void)kind, (void)ftw;
    return remove(path);
}

int main(int argc, char **argv) {
    (void)argc;
    struct trailer trailer;
    char self[] = "/proc/self/exe", digest[DIGEST_CHARS + 1], size[17];
    char directory[PATH_MAX], partial[PATH_MAX], program[PATH_MAX];
    const char *root = getenv("GODWITPATH_UNPACK_DIR");

    FILE *in = fopen(self, "rb");
    if (in == NULL || fseek(in, -(long)sizeof trailer, SEEK_END) != 0)
        fail("read", self);
    if (fread(&trailer, sizeof trailer, 1, in) != 1)
        fail("read", self);
    snprintf(digest, sizeof digest, "%.32s", trailer.digest);
    snprintf(size, sizeof size, "%.16s", trailer.size);

    checked_format(directory, sizeof directory, root ? root : "/tmp", "/godwitpath-", digest);
    checked_format(program, sizeof program, directory, "/", "godwitpath");
    if (access(directory, F_OK) != 0) {
        checked_format(partial, sizeof partial, directory, ".", "XXXXXX");
        if (mkdtemp(partial) == NULL)
            fail("create", partial);
        fseek(in, -(long)sizeof trailer - atol(size), SEEK_END);
        unpack(in, partial);
        /* Of two processes that unpack at once, one moves its copy in and both use that. */
        if (rename(partial, directory) != 0) {
            if (errno != ENOTEMPTY && errno != EEXIST)
                fail("create", directory);
            nftw(partial, remove_one, 16, FTW_DEPTH | FTW_PHYS);
        }
    }
    fclose(in);
    require_own(directory);
    argv[0] = program;
    execv(program, argv);
    fail("start", program);
}
