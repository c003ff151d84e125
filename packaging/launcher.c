/*
 * Launcher of the one-file program. It unpacks the archive that is appended to its executable into
 * a directory and replaces itself with the program there by execv, so that the process keeps its
 * ID and no extra parent or child process exists.
 *
 * The file ends with the archive (ustar), the digest that names the directory, and the archive's
 * size. The directory is created under GODWITPATH_UNPACK_DIR, by default /tmp, and is reused by
 * later starts.
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

#define TAR_BLOCK_BYTES 512
#define DIGEST_CHARS 32

struct trailer {
    char digest[DIGEST_CHARS];
    char size[16];
};

static void fail(const char *action, const char *subject) {
    fprintf(stderr, "godwitpath: cannot %s %s: %s\n", action, subject, strerror(errno));
    exit(1);
}

static void concat_path(char *out, size_t out_size, const char *first, const char *second,
                        const char *third) {
    if (snprintf(out, out_size, "%s%s%s", first, second, third) >= (int)out_size) {
        errno = ENAMETOOLONG;
        fail("use the path", first);
    }
}

static void write_file(FILE *bundle, const char *path, long size, int mode) {
    static char buffer[1 << 16];
    int target = open(path, O_WRONLY | O_CREAT | O_EXCL | O_NOFOLLOW, mode);
    if (target < 0)
        fail("create", path);
    for (long remaining = size; remaining > 0;) {
        size_t chunk_size = remaining < (long)sizeof buffer ? (size_t)remaining : sizeof buffer;
        size_t read_size = fread(buffer, 1, chunk_size, bundle);
        if (read_size == 0 || write(target, buffer, read_size) != (ssize_t)read_size)
            fail("write", path);
        remaining -= (long)read_size;
    }
    if (close(target) != 0)
        fail("write", path);
    fseek(bundle, (TAR_BLOCK_BYTES - size % TAR_BLOCK_BYTES) % TAR_BLOCK_BYTES, SEEK_CUR);
}

/*
 * Unpacks the archive, in which each directory precedes its contents. The offsets are those of a
 * ustar header: name 0, mode 100, size 124, type 156, link target 157, name prefix 345.
 */
static void unpack(FILE *bundle, const char *directory) {
    char header[TAR_BLOCK_BYTES], name[PATH_MAX], path[PATH_MAX], link[101];
    while (fread(header, 1, TAR_BLOCK_BYTES, bundle) == TAR_BLOCK_BYTES && header[0] != '\0') {
        long size = strtol(header + 124, NULL, 8);
        int mode = (int)strtol(header + 100, NULL, 8) & 0755;
        if (header[345] != '\0')
            snprintf(name, sizeof name, "%.155s/%.100s", header + 345, header);
        else
            snprintf(name, sizeof name, "%.100s", header);
        concat_path(path, sizeof path, directory, "/", name);
        snprintf(link, sizeof link, "%.100s", header + 157);
        if (header[156] == '5') {
            if (mkdir(path, 0755) != 0 && errno != EEXIST)
                fail("create", path);
        } else if (header[156] == '2') {
            if (symlink(link, path) != 0)
                fail("create", path);
        } else {
            write_file(bundle, path, size, mode);
        }
    }
}

/* Exits unless only this user may write the directory: others could have put their code there. */
static void require_private_directory(const char *directory) {
    struct stat status;
    if (lstat(directory, &status) != 0)
        fail("read", directory);
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid() || (status.st_mode & 022) != 0) {
        errno = EPERM;
        fail("trust", directory);
    }
}

static int remove_entry(const char *path, const struct stat *status, int kind, struct FTW *ftw) {
    (void)status, (void)kind, (void)ftw;
    return remove(path);
}

int main(int argc, char **argv) {
    (void)argc;
    struct trailer trailer;
    char self_path[] = "/proc/self/exe", digest[DIGEST_CHARS + 1], size[17];
    char directory[PATH_MAX], partial[PATH_MAX], program[PATH_MAX];
    const char *unpack_root = getenv("GODWITPATH_UNPACK_DIR");

    FILE *bundle = fopen(self_path, "rb");
    if (bundle == NULL || fseek(bundle, -(long)sizeof trailer, SEEK_END) != 0)
        fail("read", self_path);
    if (fread(&trailer, sizeof trailer, 1, bundle) != 1)
        fail("read", self_path);
    snprintf(digest, sizeof digest, "%.32s", trailer.digest);
    snprintf(size, sizeof size, "%.16s", trailer.size);

    concat_path(directory, sizeof directory, unpack_root ? unpack_root : "/tmp", "/godwitpath-",
                digest);
    concat_path(program, sizeof program, directory, "/", "godwitpath");
    if (access(directory, F_OK) != 0) {
        concat_path(partial, sizeof partial, directory, ".", "XXXXXX");
        if (mkdtemp(partial) == NULL)
            fail("create", partial);
        fseek(bundle, -(long)sizeof trailer - atol(size), SEEK_END);
        unpack(bundle, partial);
        /* If several processes unpack at once, one rename succeeds and all run that copy. */
        if (rename(partial, directory) != 0) {
            if (errno != ENOTEMPTY && errno != EEXIST)
                fail("create", directory);
            nftw(partial, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
        }
    }
    fclose(bundle);
    require_private_directory(directory);
    argv[0] = program;
    execv(program, argv);
    fail("start", program);
}
