/*
 * Main program of dist/jackdawpass.
 *
 * Starts the interpreter of the static CPython library with the executable
 * itself as the only entry of the module search path: a zip archive with the
 * standard library, the dependencies and the package is appended to it.
 */
#define _GNU_SOURCE
#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <dlfcn.h>
#include <fcntl.h>
#include <limits.h>
#include <sys/mman.h>
#include <unistd.h>

/* After the seals nothing can change the file, so no mapping of it can carry
 * data between processes. */
#define SEALS (F_SEAL_WRITE | F_SEAL_SHRINK | F_SEAL_GROW | F_SEAL_SEAL)

static int
write_all(int descriptor, const char *data, Py_ssize_t size)
{
    while (size > 0) {
        ssize_t written = write(descriptor, data, size);
        if (written < 0) {
            return -1;
        }
        data += written;
        size -= written;
    }
    return 0;
}

/* Copies an image into a sealed anonymous memory file and returns its
 * descriptor, which stays open: the loader recognises a library by its path,
 * so a reused descriptor number would yield the library loaded before. */
static PyObject *
copy_to_memory(PyObject *self, PyObject *arguments)
{
    const char *name, *data;
    Py_ssize_t size;
    if (!PyArg_ParseTuple(arguments, "sy#", &name, &data, &size)) {
        return NULL;
    }
    int descriptor = memfd_create(name, MFD_CLOEXEC | MFD_ALLOW_SEALING);
    if (descriptor < 0) {
        return PyErr_SetFromErrno(PyExc_OSError);
    }
    if (write_all(descriptor, data, size) < 0
        || fcntl(descriptor, F_ADD_SEALS, SEALS) < 0) {
        PyErr_SetFromErrno(PyExc_OSError);
        close(descriptor);
        return NULL;
    }
    return PyLong_FromLong(descriptor);
}

/* Loads a shared library that an extension module depends on. Its symbols
 * become visible to the modules, as if the system's loader had found it. */
static PyObject *
load_library(PyObject *self, PyObject *argument)
{
    const char *path = PyUnicode_AsUTF8(argument);
    if (path == NULL) {
        return NULL;
    }
    if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef launcher_methods[] = {
    {"copy_to_memory", copy_to_memory, METH_VARARGS,
     "Copy an image into a memory file and return its descriptor."},
    {"load_library", load_library, METH_O, "Load the shared library at a path."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef launcher_module = {
    PyModuleDef_HEAD_INIT, "_launcher", NULL, 0, launcher_methods,
};

static PyObject *
init_launcher(void)
{
    return PyModule_Create(&launcher_module);
}

static PyStatus
configure(PyConfig *config, const char *executable, int argc, char **argv)
{
    PyStatus status;
    wchar_t *path = Py_DecodeLocale(executable, NULL);
    if (path == NULL) {
        return PyStatus_NoMemory();
    }
    /* Fixed paths keep the interpreter from searching the file system for an
     * installed standard library. */
    wchar_t **paths[] = {
        &config->program_name, &config->executable,  &config->base_executable,
        &config->prefix,       &config->exec_prefix, &config->base_prefix,
        &config->base_exec_prefix,
    };
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        status = PyConfig_SetString(config, paths[i], path);
        if (PyStatus_Exception(status)) {
            return status;
        }
    }
    config->module_search_paths_set = 1;
    /* This path names the running file even after an upgrade replaced it. */
    status = PyWideStringList_Append(&config->module_search_paths, L"/proc/self/exe");
    if (PyStatus_Exception(status)) {
        return status;
    }
    config->parse_argv = 0;
    config->site_import = 0;
    config->write_bytecode = 0;
    config->install_signal_handlers = 1;
    status = PyConfig_SetString(
        config, &config->run_command, L"import _start; _start.main()");
    if (PyStatus_Exception(status)) {
        return status;
    }
    return PyConfig_SetBytesArgv(config, argc, argv);
}

int
main(int argc, char **argv)
{
    char executable[PATH_MAX];
    ssize_t length = readlink("/proc/self/exe", executable, sizeof(executable) - 1);
    if (length < 0) {
        perror("jackdawpass: cannot read /proc/self/exe; mount /proc");
        return 1;
    }
    executable[length] = '\0';

    PyPreConfig preconfig;
    PyPreConfig_InitIsolatedConfig(&preconfig);
    /* An empty environment has the C locale; texts are UTF-8 regardless. */
    preconfig.utf8_mode = 1;
    PyStatus status = Py_PreInitialize(&preconfig);
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
    if (PyImport_AppendInittab("_launcher", init_launcher) < 0) {
        fputs("jackdawpass: out of memory\n", stderr);
        return 1;
    }
    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    status = configure(&config, executable, argc, argv);
    if (!PyStatus_Exception(status)) {
        status = Py_InitializeFromConfig(&config);
    }
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
    return Py_RunMain();
}
